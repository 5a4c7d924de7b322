#pragma once

#include "base/result.hpp"
#include "http/address.hpp"
#include "http/event_loop.hpp"
#include "http/exchange.hpp"
#include "http/server_limits.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

struct MHD_Daemon;

namespace damaskladder::http {

/// Listens on one address and hands each request to a handler, on the thread of an event loop.
class server {
public:
    using request_handler = std::function<void(std::shared_ptr<exchange>)>;

    /// The handler runs when the headers of a request have arrived.
    server(event_loop& loop, server_limits limits, request_handler handler);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Starts to listen. Port 0 takes a free port; see port(). Fails with io.
    base::result<void> listen(const address& endpoint);

    /// Goes on to accept connections, but asks each to close after its next answer.
    void close_kept_connections();

    /// Stops to accept connections and asks kept ones to close after their next answer.
    void drain();

    /// Closes connections on which no request is under way.
    void close_idle_connections();

    /// The port that was bound.
    std::uint16_t port() const { return m_port; }
    const server_limits& limits() const { return m_limits; }
    std::size_t open_exchanges() const { return m_open; }

private:
    friend class exchange;
    friend struct server_callbacks;

    void run_pending();
    /// When libmicrohttpd wants to run although nothing happens, for its timeouts.
    std::optional<base::time_point> next_run(base::time_point now) const;
    void connection_opened(int fd);
    void connection_closed(int fd);
    void caller_gone(int fd);

    event_loop& m_loop;
    server_limits m_limits;
    request_handler m_handler;
    MHD_Daemon* m_daemon = nullptr;
    std::uint16_t m_port = 0;
    std::size_t m_open = 0;
    bool m_pending = false;
    std::optional<base::time_point> m_run_at;
    bool m_draining = false;
    /// No new connections are accepted.
    bool m_quiesced = false;
    /// Exchange that runs on each open connection, by descriptor; null between requests.
    std::unordered_map<int, std::weak_ptr<exchange>> m_connections;
};

} // namespace damaskladder::http
