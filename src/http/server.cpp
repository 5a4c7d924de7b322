#include "http/server.hpp"

#include <utility>

namespace damaskladder::http {

namespace {

constexpr std::size_t read_size = std::size_t{16} * 1024;
constexpr base::duration idle_check_interval = std::chrono::seconds(1);

} // namespace

server::server(event_loop& loop, server_limits limits, request_handler handler)
    : m_loop(loop),
      m_limits(limits),
      m_handler(std::move(handler)),
      m_acceptor(loop, [this](stream_socket socket) { handle_accepted(std::move(socket)); }),
      m_read_buffer(read_size)
{
}

server::~server()
{
    auto open = std::exchange(m_connections, {});
    for (const auto& item : open) {
        m_loop.unwatch(item.first);
        item.second->abandon();
    }
}

base::result<void> server::listen(const address& endpoint)
{
    BOOST_LEAF_CHECK(m_acceptor.listen(endpoint));
    m_port = m_acceptor.port();
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

void server::handle_accepted(stream_socket socket)
{
    const int fd = socket.descriptor();
    const auto added =
        std::make_shared<server_connection>(*this, std::move(socket), m_loop.woken_at());
    m_connections[fd] = added;
    m_loop.watch(fd, stream_socket::all_events, [connection = added.get()](std::uint32_t events) {
        connection->handle_events(events);
    });
    if (m_connections.size() >= m_limits.max_connections) {
        m_acceptor.pause();
    }
}

void server::remove(int fd)
{
    m_loop.unwatch(fd);
    m_connections.erase(fd);
    m_acceptor.resume();
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
    m_acceptor.drain();
}

std::size_t server::waiting_requests() const
{
    std::size_t count = 0;
    for (const auto& item : m_connections) {
        count += item.second->waiting_requests();
    }
    return count;
}

std::size_t server::waiting_bytes() const
{
    std::size_t bytes = 0;
    for (const auto& item : m_connections) {
        bytes += item.second->waiting_bytes();
    }
    return bytes;
}

void server::close_idle_connections()
{
    m_closes_idle = true;
    std::vector<std::shared_ptr<server_connection>> idle;
    for (const auto& item : m_connections) {
        if (item.second->is_idle()) {
            idle.push_back(item.second);
        }
    }
    for (const auto& connection : idle) {
        connection->close_if_idle();
    }
}

} // namespace damaskladder::http
