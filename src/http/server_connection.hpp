#pragma once

#include "http/exchange.hpp"
#include "http/head_writer.hpp"
#include "http/message_parser.hpp"
#include "http/output_buffer.hpp"
#include "http/stream_socket.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace damaskladder::http {

class server;

/// A caller's connection: reads requests one at a time and sends their responses.
///
/// A request is passed to the handler when its head has arrived. Nothing is read while its body
/// buffer is full, and while the response is pending the connection is only watched for the caller
/// disconnecting. Output written within one round of the loop is sent together.
class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    server_connection(server& owner, stream_socket socket, base::time_point now);
    ~server_connection() = default;
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;

    /// Handles epoll events of the socket, which is watched edge-triggered.
    void handle_events(std::uint32_t events);

    /// Called once a second. Closes the connection if it has been idle for too long while waiting
    /// for the caller.
    void check_idle(base::time_point now);

    /// Whether no request is in progress.
    bool is_idle() const { return m_exchange == nullptr; }

    /// Closes the connection unless a request is in progress. What has arrived is read first; a
    /// request in it is passed to the handler.
    void close_if_idle();

    /// Closes the connection. A request in progress is notified that its caller has disconnected.
    void close();

    /// Detaches from a server that is being destroyed. Hooks no longer run, and calls on the
    /// exchange have no effect.
    void abandon();

private:
    friend class exchange;

    // Called by the exchange in progress.
    /// Reads in a later round of the loop.
    void continue_reading();
    void begin_response(const response_head& head);
    void write_response(std::string_view data);
    void end_response();
    void abort_response();
    bool has_output_space() const;

    /// The caller has closed its sending side before the response was complete.
    bool caller_disconnected() const;
    bool wants_input() const;
    /// Reads until nothing is left or wanted, or the turn has ended.
    void read_input();
    void parse_input(std::string_view data);
    void head_received();
    void body_received(std::string_view data);
    void request_received();
    void reject_input(int status);
    bool expects_interim_response() const;
    void schedule_flush();
    void flush();
    void response_sent();
    void end_exchange();
    void start_draining();

    server& m_owner;
    stream_socket m_socket;
    message_parser m_parser;
    /// Received bytes that are not parsed yet.
    std::string m_unparsed;
    std::shared_ptr<exchange> m_exchange;
    bool m_reading_scheduled = false;
    bool m_request_received = false;
    /// Body bytes discarded because the response is already complete.
    std::size_t m_discarded = 0;

    output_buffer m_out;
    body_framing m_framing = body_framing::none;
    /// Bytes still to be written of a response of known size.
    std::int64_t m_response_remaining = 0;
    bool m_flush_scheduled = false;

    /// The connection closes after the current response.
    bool m_close_after_response = false;
    /// The sending side is shut down or about to be; further input is discarded.
    bool m_draining = false;
    bool m_closed = false;
    base::time_point m_last_active;
};

} // namespace damaskladder::http
