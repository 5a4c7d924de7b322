#pragma once

#include "http/request_head.hpp"
#include "http/response_head.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace damaskladder::http {

class server_connection;

/// One request that a server received and the answer to it. Belongs to the server's loop thread.
///
/// The request body arrives in body(); consume_body() makes room for more. The answer is given
/// whole with respond(), or as start(), any number of write(), and finish() or abort(). An aborted
/// answer reaches the caller as a visibly broken transfer. After the caller has gone or the answer
/// is complete all calls are without effect.
class exchange : public std::enable_shared_from_this<exchange> {
public:
    exchange(server_connection& connection, request_head head);
    ~exchange() = default;
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    const request_head& head() const { return m_head; }

    /// Body bytes received and not yet consumed.
    std::string_view body() const { return m_body; }
    void consume_body(std::size_t size);
    /// Whether the last body byte is in body() or was consumed.
    bool body_complete() const { return m_body_complete; }

    /// Called when body bytes arrive and when the body is complete.
    void on_body(std::function<void()> hook) { m_on_body = std::move(hook); }
    /// Called when the answer's buffer has room again.
    void on_writable(std::function<void()> hook) { m_on_writable = std::move(hook); }
    /// Called once when the caller closed its connection, or its sending half, before the answer
    /// was complete.
    void on_disconnect(std::function<void()> hook) { m_on_disconnect = std::move(hook); }

    void respond(response_head head, std::string_view body);
    void start(const response_head& head);
    void write(std::string_view data);
    void finish();
    void abort();

    /// Whether the answer's buffer has room for more.
    bool writable() const;
    bool started() const { return m_started; }
    bool disconnected() const { return m_disconnected; }

private:
    friend class server_connection;

    /// Drops the hooks, which often hold what keeps this exchange alive.
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
