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

/// One connection of a caller: reads one request after the other and sends their answers.
///
/// A request is handed over when its head has arrived. While its body waits for room nothing is
/// read, and while it waits for its answer only the caller's leaving is watched for. What is
/// written within one round of the loop goes out in one piece.
class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    server_connection(server& owner, stream_socket socket, base::time_point now);
    ~server_connection() = default;
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;

    /// Events of epoll on the socket, which is watched edge-triggered.
    void handle_events(std::uint32_t events);

    /// Called once a second; closes the connection when nothing has moved for too long while it was
    /// the caller's turn.
    void check_idle(base::time_point now);

    /// Whether no request is under way.
    bool is_idle() const { return m_exchange == nullptr; }

    /// Ends the connection. A request under way learns that its caller has gone.
    void close();

    /// The server goes away. Hooks do not run any more, and calls of the exchange have no effect.
    void abandon();

private:
    friend class exchange;

    // For the exchange under way.
    void continue_reading();
    void begin_response(const response_head& head);
    void write_response(std::string_view data);
    void end_response();
    void abort_response();
    bool has_output_space() const;

    /// The caller has ended its side while it waits for an answer.
    bool caller_disconnected() const;
    bool wants_input() const;
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
    /// Received and not parsed yet.
    std::string m_unparsed;
    std::shared_ptr<exchange> m_exchange;
    bool m_request_received = false;
    /// Body bytes dropped because the answer does not depend on them.
    std::size_t m_discarded = 0;

    output_buffer m_out;
    body_framing m_framing = body_framing::none;
    /// Bytes still owed of an answer of known size.
    std::int64_t m_response_remaining = 0;
    bool m_flush_scheduled = false;

    /// The connection ends with the answer under way.
    bool m_close_after_response = false;
    /// The own side has ended; what the peer still sends is dropped.
    bool m_draining = false;
    bool m_closed = false;
    base::time_point m_last_active;
};

} // namespace damaskladder::http
