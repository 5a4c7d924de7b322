#pragma once

#include "base/time.hpp"
#include "http/request_head.hpp"
#include "http/response_head.hpp"
#include "http/response_output.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace damaskladder::http {

class server_connection;

/// A request received by a server and its response. Used only on the server's loop thread.
///
/// The request body arrives in body(); consume_body() makes room for more. The response is sent
/// either complete with respond(), or with start(), any number of write() calls, and finish() or
/// abort(). The caller sees an aborted response as a failed transfer. After the caller has
/// disconnected or the response is complete, all calls have no effect.
///
/// With server_limits::requests_ahead, several exchanges of one connection are open at once. Each
/// may be answered at any time; its output is buffered until those before it are answered. If one
/// of them closes the connection, the exchanges behind it are disconnected.
class exchange : public std::enable_shared_from_this<exchange> {
public:
    exchange(server_connection& connection, request_head head);
    ~exchange() = default;
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    const request_head& head() const { return m_head; }

    /// Body bytes received but not yet consumed.
    std::string_view body() const { return m_body; }
    void consume_body(std::size_t size);
    /// Whether the whole body has been received.
    bool body_complete() const { return m_body_complete; }
    /// When the last bytes of the request so far were read from the connection. They may have been
    /// held there while the connection was at its limit of open requests.
    base::time_point received_at() const { return m_received_at; }

    /// Number of exchanges before this one on its connection.
    std::size_t ahead() const;
    /// Identifies the exchange to the application; 0 by default.
    void set_tag(std::uint64_t tag) { m_tag = tag; }
    std::uint64_t tag() const { return m_tag; }
    /// Tags of the exchanges before and behind this one, in the order of their requests.
    std::vector<std::uint64_t> tags_ahead() const;
    std::vector<std::uint64_t> tags_behind() const;

    /// Called when body bytes arrive and when the body is complete.
    void on_body(std::function<void()> hook) { m_on_body = std::move(hook); }
    /// Called when the output buffer has space again.
    void on_writable(std::function<void()> hook) { m_on_writable = std::move(hook); }
    /// Called once if the caller closes its connection, or its sending half, before the response is
    /// complete, and if the connection has to close after an earlier response.
    void on_disconnect(std::function<void()> hook) { m_on_disconnect = std::move(hook); }
    /// Called once when all exchanges before this one have been answered, their responses have been
    /// passed to the operating system, and the connection stays open. Not called if ahead() is 0.
    void on_turn(std::function<void()> hook);

    void respond(response_head head, std::string_view body);
    void start(const response_head& head);
    void write(std::string_view data);
    void finish();
    void abort();

    /// Whether the output buffer has space.
    bool writable() const;
    bool started() const { return m_started; }
    bool disconnected() const { return m_disconnected; }

private:
    friend class server_connection;
    friend class exchange_queue;

    /// Releases the hooks, which often hold references that keep this exchange alive.
    void clear_hooks();
    std::size_t waiting_bytes() const { return m_body.size() + m_waiting_output.size(); }

    /// Null once the connection has ended or the exchange is complete.
    server_connection* m_connection;
    request_head m_head;
    std::string m_body;
    bool m_body_complete = false;
    bool m_is_http_1_1 = true;

    bool m_started = false;
    bool m_finished = false;
    bool m_aborted = false;
    bool m_disconnected = false;
    /// The connection closes after the response.
    bool m_closes = false;

    base::time_point m_received_at;
    std::uint64_t m_tag = 0;
    /// Body bytes discarded because the response is already complete.
    std::size_t m_discarded = 0;
    response_output m_output;
    /// Output that waits until the exchanges before this one are answered.
    std::string m_waiting_output;

    std::function<void()> m_on_body;
    std::function<void()> m_on_writable;
    std::function<void()> m_on_disconnect;
    std::function<void()> m_on_turn;
};

} // namespace damaskladder::http
