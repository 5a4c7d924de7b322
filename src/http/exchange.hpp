#pragma once

#include "http/request_head.hpp"
#include "http/response_head.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace damaskladder::http {

class server_connection;

/// A request received by a server and its response. Used only on the server's loop thread.
///
/// The request body arrives in body(); consume_body() makes room for more. The response is sent
/// either complete with respond(), or with start(), any number of write() calls, and finish() or
/// abort(). The caller sees an aborted response as a failed transfer. After the caller has
/// disconnected or the response is complete, all calls have no effect.
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

    /// Called when body bytes arrive and when the body is complete.
    void on_body(std::function<void()> hook) { m_on_body = std::move(hook); }
    /// Called when the output buffer has space again.
    void on_writable(std::function<void()> hook) { m_on_writable = std::move(hook); }
    /// Called once if the caller closes its connection, or its sending half, before the response is
    /// complete.
    void on_disconnect(std::function<void()> hook) { m_on_disconnect = std::move(hook); }

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

    /// Releases the hooks, which often hold references that keep this exchange alive.
    void clear_hooks();

    /// Null once the connection has ended or the exchange is complete.
    server_connection* m_connection;
    request_head m_head;
    std::string m_body;
    bool m_body_complete = false;

    bool m_started = false;
    bool m_finished = false;
    bool m_disconnected = false;

    std::function<void()> m_on_body;
    std::function<void()> m_on_writable;
    std::function<void()> m_on_disconnect;
};

} // namespace damaskladder::http
