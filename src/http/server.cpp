#include "http/server.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace damaskladder::http {

namespace {

constexpr int backlog = 1024;
/// Connections accepted in one round, so that a flood of them leaves time for requests.
constexpr int max_accepted = 64;
constexpr std::size_t read_size = std::size_t{16} * 1024;
constexpr base::duration idle_check_interval = std::chrono::seconds(1);

base::file_descriptor make_listener(const address& endpoint)
{
    base::file_descriptor made(
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP));
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_port = htons(endpoint.port);
    const int reuse = 1;
    const bool ready =
        made.is_open() && inet_pton(AF_INET, endpoint.ip.c_str(), &bound.sin_addr) == 1 &&
        setsockopt(made.get(), SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse) == 0 &&
        bind(made.get(), reinterpret_cast<const sockaddr*>(&bound), sizeof bound) == 0 &&
        ::listen(made.get(), backlog) == 0;
    return ready ? std::move(made) : base::file_descriptor(-1);
}

std::uint16_t port_of(int fd)
{
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size);
    return ntohs(bound.sin_port);
}

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
    m_listener = make_listener(endpoint);
    if (!m_listener.is_open()) {
        return base::fail(base::failure_kind::io, "listen", to_string(endpoint),
                          "the address is in use or not one of this VM");
    }
    m_port = port_of(m_listener.get());
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
    m_loop.watch(m_listener.get(), EPOLLIN, [this](std::uint32_t) { accept_waiting(); });
}

void server::accept_waiting()
{
    for (int accepted = 0; accepted < max_accepted; ++accepted) {
        if (m_connections.size() >= m_limits.max_connections) {
            m_full = true;
            m_loop.unwatch(m_listener.get());
            return;
        }
        base::file_descriptor made(
            accept4(m_listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!made.is_open()) {
            return;
        }
        const int fd = made.get();
        const auto added = std::make_shared<server_connection>(
            *this, stream_socket(std::move(made)), m_loop.woken_at());
        m_connections[fd] = added;
        m_loop.watch(
            fd,
            static_cast<std::uint32_t>(EPOLLIN) | static_cast<std::uint32_t>(EPOLLOUT) |
                static_cast<std::uint32_t>(EPOLLRDHUP) | static_cast<std::uint32_t>(EPOLLET),
            [connection = added.get()](std::uint32_t events) { connection->ready(events); });
    }
}

void server::remove(int fd)
{
    m_loop.unwatch(fd);
    m_connections.erase(fd);
    if (m_full && m_listener.is_open()) {
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
    if (m_listener.is_open()) {
        m_loop.unwatch(m_listener.get());
        m_listener = base::file_descriptor(-1);
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
