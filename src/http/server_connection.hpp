#pragma once

#include "http/exchange.hpp"
#include "http/exchange_queue.hpp"
#include "http/message_parser.hpp"
#include "http/output_buffer.hpp"
#include "http/stream_socket.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace damaskladder::http {

class server;

/// A caller's connection: reads requests and sends their responses in the order of the requests.
///
/// A request is passed to the handler when its head has arrived, also while earlier ones are open,
/// up to the limits of server_limits. Nothing is read while the body buffer of the last request is
/// full, and at those limits the connection is only watched for the caller disconnecting. Output
/// written within one round of the loop is sent together.
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
    bool is_idle() const { return m_queue.empty(); }

    /// Closes the connection unless a request is in progress. What has arrived is read first; a
    /// request in it is passed to the handler.
    void close_if_idle();

    /// Closes the connection. Requests in progress are notified that their caller has disconnected.
    void close();

    /// Detaches from a server that is being destroyed. Hooks no longer run, and calls on the
    /// exchanges have no effect.
    void abandon();

    /// Requests that wait behind others, and the bytes of their bodies and responses.
    std::size_t waiting_requests() const { return m_queue.behind_front().size(); }
    std::size_t waiting_bytes() const { return m_queue.waiting_bytes(); }

private:
    friend class exchange;

    // Called by the open exchanges.
    /// Reads in a later round of the loop.
    void continue_reading();
    void begin_response(exchange& of, const response_head& head);
    void write_response(exchange& of, std::string_view data);
    void end_response(exchange& of);
    void abort_response(exchange& of);
    bool has_output_space(const exchange& of) const;
    std::size_t position(const exchange& of) const { return m_queue.position(of); }
    std::vector<std::uint64_t> tags_ahead(const exchange& of) const;
    std::vector<std::uint64_t> tags_behind(const exchange& of) const;

    bool is_front(const exchange& of) const { return &of == m_queue.front().get(); }
    /// The buffer for output of an exchange: that of the connection if its turn has come.
    std::string& buffer_of(exchange& of)
    {
        return is_front(of) ? m_out.bytes() : of.m_waiting_output;
    }

    /// The caller has closed its sending side before all responses were complete.
    bool caller_disconnected() const;
    bool wants_input() const;
    /// Whether another request may be read behind the open ones.
    bool wants_request() const;
    /// Reads until nothing is left or wanted, or the turn has ended.
    void read_input();
    void input_ended();
    void parse_input(std::string_view data);
    void head_received();
    void body_received(std::string_view data);
    void request_received();
    void reject_input(int status);
    /// Asks for the body of the first request if its caller waits to be asked.
    void send_interim_response();
    void schedule_flush();
    void flush();
    /// Ends the exchanges at the front that are complete while others wait behind them. Returns
    /// whether there were any.
    bool end_complete_exchanges();
    /// Called when all output has been passed to the operating system.
    void output_sent();
    void front_complete();
    /// Resets the connection once the responses before an aborted one have arrived.
    void reset_when_acknowledged();
    void notify_writable(const std::shared_ptr<exchange>& to);
    void end_exchange(exchange& ended);
    void disconnect(const std::vector<std::shared_ptr<exchange>>& open);
    void start_draining();

    server& m_owner;
    stream_socket m_socket;
    message_parser m_parser;
    /// Received bytes that are not parsed yet.
    std::string m_unparsed;
    base::time_point m_read_at;
    exchange_queue m_queue;
    output_buffer m_out;

    bool m_reading_scheduled = false;
    bool m_flush_scheduled = false;
    /// The output buffer holds bytes of responses before that of the first exchange.
    bool m_earlier_output = false;
    /// The sending side is shut down or about to be; further input is discarded.
    bool m_draining = false;
    bool m_closed = false;
    base::time_point m_last_active;
};

} // namespace damaskladder::http
