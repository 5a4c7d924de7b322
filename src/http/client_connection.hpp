#pragma once

#include "base/time.hpp"
#include "http/address.hpp"
#include "http/head_writer.hpp"
#include "http/message_parser.hpp"
#include "http/output_buffer.hpp"
#include "http/stream_socket.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace damaskladder::http {

class client;
class transfer;

/// One connection to a server: carries one transfer after the other.
///
/// It is kept for another transfer only if the answer was complete, nothing followed it, the
/// request was sent whole and neither side asked to close. Bytes that arrive while no transfer is
/// under way answer nothing, so they end the connection.
class client_connection : public std::enable_shared_from_this<client_connection> {
public:
    client_connection(client& owner, address to);
    ~client_connection() = default;
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    /// Starts to connect; whether that is possible at all.
    bool connect(base::duration unacknowledged_timeout);

    /// Carries a transfer, at once or when connected. The connection is idle or new.
    void assign_transfer(std::shared_ptr<transfer> next);

    /// Goes on with a body in either direction after it had to wait.
    void resume();

    /// Closes the connection; what is under way is not told.
    void close();

    const address& peer() const { return m_peer; }
    /// When the server may close the idle connection.
    base::time_point idle_deadline() const { return m_idle_deadline; }

private:
    void handle_events(std::uint32_t events);
    void handle_connected();
    void send_request();
    /// Moves what there is of the request's body to the buffer.
    void fill_from_body();
    void flush();
    void read_response();
    void parse_input(std::string_view data);
    void head_received();
    void response_received(bool more_follows);
    void handle_end_of_input(bool cleanly);
    /// The connection broke while a transfer was under way.
    void fail_transfer(const char* why);
    void parse_keep_alive();

    client& m_owner;
    address m_peer;
    std::optional<stream_socket> m_socket;
    message_parser m_parser;
    std::shared_ptr<transfer> m_transfer;

    output_buffer m_out;
    body_framing m_framing = body_framing::none;
    std::int64_t m_body_remaining = 0;
    bool m_request_sent = false;
    /// Whether the peer can have received anything of the request under way.
    bool m_bytes_sent = false;

    bool m_connected = false;
    bool m_interim = false;
    /// The answer under way, once its head is there.
    bool m_keep_alive = false;
    bool m_closed = false;
    base::duration m_idle_timeout{};
    base::time_point m_idle_deadline;
};

} // namespace damaskladder::http
