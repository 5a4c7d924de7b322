#pragma once

#include "base/result.hpp"
#include "http/acceptor.hpp"
#include "http/address.hpp"
#include "http/event_loop.hpp"
#include "http/exchange.hpp"
#include "http/server_connection.hpp"
#include "http/server_limits.hpp"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace damaskladder::http {

/// Listens on one address and passes each request to a handler, on the thread of an event loop.
class server {
public:
    using request_handler = std::function<void(std::shared_ptr<exchange>)>;

    /// The handler is called when the headers of a request have been received.
    server(event_loop& loop, server_limits limits, request_handler handler);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Starts listening. Port 0 binds to a free port; see port(). Fails with io.
    base::result<void> listen(const address& endpoint);

    /// Continues to accept connections, but sends "Connection: close" with the next response on
    /// each.
    void disable_keep_alive() { m_draining = true; }

    /// Accepts the connections that are waiting and then no more, and sends "Connection: close"
    /// with the next response on existing ones.
    void drain();

    /// Closes connections without a request in progress, now and when their request ends. A request
    /// that has arrived but was not read yet is served.
    void close_idle_connections();

    /// The bound port.
    std::uint16_t port() const { return m_port; }
    const server_limits& limits() const { return m_limits; }
    std::size_t open_exchanges() const { return m_open; }
    /// Requests that wait behind others on their connection, and the bytes of their bodies and
    /// responses. Both iterate over all connections.
    std::size_t waiting_requests() const;
    std::size_t waiting_bytes() const;

private:
    friend class server_connection;

    event_loop& loop() const { return m_loop; }
    /// Buffer for a single read, shared by all connections.
    std::vector<char>& read_buffer() { return m_read_buffer; }
    void remove(int fd);
    void handle_accepted(stream_socket socket);
    void check_idle(base::time_point now);

    event_loop& m_loop;
    server_limits m_limits;
    request_handler m_handler;
    acceptor m_acceptor;
    std::uint16_t m_port = 0;
    std::size_t m_open = 0;
    bool m_draining = false;
    bool m_closes_idle = false;
    base::time_point m_next_idle_check;
    std::vector<char> m_read_buffer;
    /// By descriptor.
    std::unordered_map<int, std::shared_ptr<server_connection>> m_connections;
};

} // namespace damaskladder::http
