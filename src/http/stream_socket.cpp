#include "http/stream_socket.hpp"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace damaskladder::http {

namespace {

constexpr std::uint32_t close_events = EPOLLRDHUP | EPOLLHUP | EPOLLERR;

// A peer that vanishes without a reset is detected after about three seconds of silence. Requests
// rarely wait longer than that for a response, so probes are rare, and each costs two packets.
constexpr int keep_alive_idle_s = 1;
constexpr int keep_alive_interval_s = 1;
constexpr int keep_alive_probes = 2;

void set_option(int descriptor, int level, int name, int value)
{
    // Errors are ignored: without one of these options the connection still works, only slower or
    // with its loss detected late.
    setsockopt(descriptor, level, name, &value, sizeof value);
}

stream_socket::io_result result_of(ssize_t moved)
{
    using status = stream_socket::io_result::status;
    if (moved >= 0) {
        return {status::transferred, static_cast<std::size_t>(moved)};
    }
    const bool blocked = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    return {blocked ? status::blocked : status::failed, 0};
}

} // namespace

// EPOLLET is the sign bit of a signed enumeration.
const std::uint32_t stream_socket::input_events =
    EPOLLIN | EPOLLRDHUP | static_cast<std::uint32_t>(EPOLLET);
const std::uint32_t stream_socket::all_events = input_events | EPOLLOUT;

stream_socket::stream_socket(base::file_descriptor connected) : m_descriptor(std::move(connected))
{
    const int fd = m_descriptor.get();
    set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_idle_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval_s);
    set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
}

std::optional<stream_socket> stream_socket::connect(const address& to)
{
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(to.port);
    base::file_descriptor made(
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP));
    if (!made.is_open() || inet_pton(AF_INET, to.ip.c_str(), &peer.sin_addr) != 1) {
        return std::nullopt;
    }
    stream_socket connecting(std::move(made));
    const int begun =
        ::connect(connecting.descriptor(), reinterpret_cast<const sockaddr*>(&peer), sizeof peer);
    if (begun != 0 && errno != EINPROGRESS) {
        return std::nullopt;
    }
    return connecting;
}

bool stream_socket::finish_connect()
{
    int error = 0;
    socklen_t size = sizeof error;
    if (getsockopt(descriptor(), SOL_SOCKET, SO_ERROR, &error, &size) != 0) {
        return false;
    }
    if (error != 0) {
        record_error(error);
    }
    return error == 0;
}

void stream_socket::record_error(int error)
{
    // EPIPE is the error of a write after the peer's close, also if the peer has reset the
    // connection since. It follows every other error, which has been recorded then.
    m_broken = m_broken || (error != EPIPE && !m_peer_ended);
}

void stream_socket::update_readiness(std::uint32_t events)
{
    const bool whole = (events & (EPOLLHUP | EPOLLERR)) == 0;
    m_peer_ended = m_peer_ended || (whole && !m_broken && (events & EPOLLRDHUP) != 0);
    m_peer_closed = m_peer_closed || (events & close_events) != 0;
    m_readable = m_readable || (events & (EPOLLIN | close_events)) != 0;
}

bool stream_socket::signals_writable(std::uint32_t events)
{
    return (events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) != 0;
}

stream_socket::io_result stream_socket::read(char* out, std::size_t size)
{
    auto got = result_of(recv(descriptor(), out, size, 0));
    if (got.what == io_result::status::failed) {
        record_error(errno);
    }
    else if (got.what == io_result::status::transferred && got.size == 0) {
        got.what = m_broken ? io_result::status::failed : io_result::status::ended;
    }
    // A short read has drained the socket; further input is reported by another event.
    const bool short_read = got.what == io_result::status::transferred && got.size < size;
    if (got.what == io_result::status::blocked || (short_read && !m_peer_closed)) {
        m_readable = false;
    }
    return got;
}

stream_socket::io_result stream_socket::write(std::string_view data)
{
    const auto sent = result_of(send(descriptor(), data.data(), data.size(), MSG_NOSIGNAL));
    if (sent.what == io_result::status::failed) {
        record_error(errno);
        m_peer_closed = true;
        m_readable = true;
    }
    return sent;
}

bool stream_socket::has_unacknowledged_output() const
{
    int size = 0;
    return ioctl(descriptor(), SIOCOUTQ, &size) == 0 && size > 0;
}

void stream_socket::shut_down_sending() const
{
    shutdown(descriptor(), SHUT_WR);
}

void stream_socket::set_unacknowledged_timeout(base::duration limit) const
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(limit).count();
    set_option(descriptor(), IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(ms));
}

void stream_socket::reset_on_close() const
{
    const linger none{1, 0};
    setsockopt(descriptor(), SOL_SOCKET, SO_LINGER, &none, sizeof none);
}

} // namespace damaskladder::http
