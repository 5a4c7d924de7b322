#include "http/server.hpp"

#include <sys/epoll.h>

#include <utility>

namespace damaskladder::http {

namespace {

/// Connections accepted in one round, so that a flood of them leaves time for requests.
constexpr int max_accepted = 64;
constexpr std::size_t read_size = std::size_t{16} * 1024;
constexpr base::duration idle_check_interval = std::chrono::seconds(1);

} // namespace

server::server(event_loop& loop, server_limits limits, request_handler handler)
    : m_loop(loop), m_limits(limits), m_handler(std::move(handler)), m_read_buffer(read_size)
{
}

server::~server()
{
    drain();
    auto open = std::exchange(m_connections, {});
    for (const auto& item : open) {
        m_loop.unwatch(item.first);
        item.second->abandon();
    }
}

base::result<void> server::listen(const address& endpoint)
{
    BOOST_LEAF_AUTO(opened, listener::open(endpoint));
    m_port = opened.port();
    m_listener.emplace(std::move(opened));
    watch_listener();
    m_loop.each_round([this](base::time_point now) -> std::optional<base::time_point> {
        if (m_connections.empty()) {
            return std::nullopt;
        }
        if (now >= m_next_idle_check) {
            m_next_idle_check = now + idle_check_interval;
            check_idle(now);
        }
        return m_next_idle_check;
    });
    return {};
}

void server::watch_listener()
{
    m_full = false;
    m_loop.watch(m_listener->descriptor(), EPOLLIN, [this](std::uint32_t) { accept_waiting(); });
}

void server::accept_waiting()
{
    for (int accepted = 0; accepted < max_accepted; ++accepted) {
        if (m_connections.size() >= m_limits.max_connections) {
            m_full = true;
            m_loop.unwatch(m_listener->descriptor());
            return;
        }
        auto made = m_listener->accept();
        if (!made) {
            if (m_listener->exhausted()) {
                pause_accepting();
            }
            return;
        }
        const int fd = made->descriptor();
        const auto added =
            std::make_shared<server_connection>(*this, std::move(*made), m_loop.woken_at());
        m_connections[fd] = added;
        m_loop.watch(
            fd,
            static_cast<std::uint32_t>(EPOLLIN) | static_cast<std::uint32_t>(EPOLLOUT) |
                static_cast<std::uint32_t>(EPOLLRDHUP) | static_cast<std::uint32_t>(EPOLLET),
            [connection = added.get()](std::uint32_t events) { connection->ready(events); });
    }
}

void server::pause_accepting()
{
    m_full = true;
    m_loop.unwatch(m_listener->descriptor());
    m_loop.call_at(event_loop::now() + listener::pause_when_exhausted,
                   [this, alive = std::weak_ptr<bool>(m_alive)] {
                       if (!alive.expired() && m_full && m_listener) {
                           watch_listener();
                       }
                   });
}

void server::remove(int fd)
{
    m_loop.unwatch(fd);
    m_connections.erase(fd);
    if (m_full && m_listener) {
        watch_listener();
    }
}

void server::check_idle(base::time_point now)
{
    std::vector<std::shared_ptr<server_connection>> open;
    open.reserve(m_connections.size());
    for (const auto& item : m_connections) {
        open.push_back(item.second);
    }
    for (const auto& connection : open) {
        connection->check_idle(now);
    }
}

void server::drain()
{
    m_draining = true;
    if (m_listener) {
        m_loop.unwatch(m_listener->descriptor());
        m_listener.reset();
    }
}

void server::close_idle_connections()
{
    std::vector<std::shared_ptr<server_connection>> idle;
    for (const auto& item : m_connections) {
        if (item.second->is_idle()) {
            idle.push_back(item.second);
        }
    }
    for (const auto& connection : idle) {
        connection->close();
    }
}

} // namespace damaskladder::http
