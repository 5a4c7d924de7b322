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

/// One connection to a server, which carries one transfer at a time.
///
/// It is reused only if the response was complete, no bytes followed it, the request was sent
/// completely and neither side asked to close. Bytes that arrive on an idle connection belong to no
/// request, so the connection is closed.
class client_connection : public std::enable_shared_from_this<client_connection> {
public:
    client_connection(client& owner, address to);
    ~client_connection() = default;
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    /// Starts connecting. Returns false if that fails immediately.
    bool connect(base::duration unacknowledged_timeout);

    /// Sends the transfer's request, immediately or once connected. The connection must be idle or
    /// new.
    void assign_transfer(std::shared_ptr<transfer> next);

    /// Continues sending or receiving a body that was paused.
    void resume();

    /// Closes the connection without notifying the transfer in progress.
    void close();

    const address& peer() const { return m_peer; }
    /// Time from which the server may close the idle connection.
    base::time_point idle_deadline() const { return m_idle_deadline; }

private:
    void handle_events(std::uint32_t events);
    void handle_connected();
    void send_request();
    /// Copies available bytes of the request body to the output buffer.
    void fill_from_body();
    void flush();
    /// Reads until nothing is left or the turn has ended.
    void read_response();
    /// Continues reading in a later round of the loop.
    void schedule_reading();
    void parse_input(std::string_view data);
    void head_received();
    void response_received(bool more_follows);
    void handle_end_of_input(bool cleanly);
    /// Closes the connection and ends the transfer in progress as broken.
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
    /// Whether any byte of the current request has been sent.
    bool m_bytes_sent = false;

    bool m_reading_scheduled = false;

    bool m_connected = false;
    bool m_interim = false;
    int m_interim_responses = 0;
    /// Whether the response allows the connection to be reused. Set when its head has arrived.
    bool m_keep_alive = false;
    bool m_closed = false;
    base::duration m_idle_timeout{};
    base::time_point m_idle_deadline;
};

} // namespace damaskladder::http
