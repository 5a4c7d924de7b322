#include "bus/message_sender.hpp"

#include "bus/message_frame.hpp"

#include <sys/epoll.h>

#include <algorithm>
#include <array>
#include <utility>

namespace damaskladder::bus {

message_sender::message_sender(http::event_loop& loop, const bus_limits& limits, http::address peer)
    : m_loop(loop), m_limits(limits), m_peer(std::move(peer)), m_pause(limits.shortest_pause)
{
}

message_sender::~message_sender()
{
    if (m_socket) {
        m_loop.unwatch(m_socket->descriptor());
    }
}

void message_sender::send(std::string_view message, base::time_point now)
{
    m_last_use = now;
    if (!m_socket) {
        if (now < m_next_try) {
            return;
        }
        connect(now);
        if (!m_socket) {
            return;
        }
    }
    const auto size = m_waiting.size() - m_sent + message.size();
    if (size > static_cast<std::size_t>(m_limits.waiting_size.value())) {
        return;
    }
    append_frame(m_waiting, message);
    if (m_connected) {
        schedule_flush();
    }
}

void message_sender::connect(base::time_point now)
{
    m_socket = http::stream_socket::connect(m_peer);
    if (!m_socket) {
        drop_connection(now);
        return;
    }
    m_socket->set_unacknowledged_timeout(m_limits.unacknowledged_timeout);
    m_connect_by = now + m_limits.connect_timeout;
    m_loop.watch(m_socket->descriptor(),
                 static_cast<std::uint32_t>(EPOLLIN) | static_cast<std::uint32_t>(EPOLLOUT) |
                     static_cast<std::uint32_t>(EPOLLRDHUP) | static_cast<std::uint32_t>(EPOLLET),
                 [this](std::uint32_t events) { ready(events); });
}

void message_sender::ready(std::uint32_t events)
{
    const auto keep = shared_from_this();
    const auto any_of = [events](auto... flags) {
        return (events & (static_cast<std::uint32_t>(flags) | ...)) != 0;
    };
    if (!m_connected) {
        if (!any_of(EPOLLOUT, EPOLLERR, EPOLLHUP)) {
            return;
        }
        if (!m_socket->finish_connect()) {
            drop_connection(http::event_loop::now());
            return;
        }
        m_connected = true;
        m_pause = m_limits.shortest_pause;
    }
    // The peer sends nothing on this connection, so what can be read is its end.
    if (any_of(EPOLLIN, EPOLLRDHUP, EPOLLHUP, EPOLLERR)) {
        drop_connection(http::event_loop::now());
        return;
    }
    flush();
}

void message_sender::schedule_flush()
{
    if (!m_flush_scheduled) {
        m_flush_scheduled = true;
        m_loop.post([self = shared_from_this()] {
            self->m_flush_scheduled = false;
            self->flush();
        });
    }
}

void message_sender::flush()
{
    while (m_connected && m_sent < m_waiting.size()) {
        const auto sent = m_socket->write(std::string_view(m_waiting).substr(m_sent));
        if (sent.what == http::stream_socket::io_result::status::blocked) {
            return;
        }
        if (sent.what != http::stream_socket::io_result::status::moved) {
            drop_connection(http::event_loop::now());
            return;
        }
        m_sent += sent.size;
    }
    if (m_sent == m_waiting.size()) {
        m_waiting.clear();
        m_sent = 0;
    }
}

void message_sender::drop_connection(base::time_point now)
{
    if (m_socket) {
        m_loop.unwatch(m_socket->descriptor());
        m_socket.reset();
    }
    m_connected = false;
    m_waiting = {};
    m_sent = 0;
    m_next_try = now + m_pause;
    m_pause = std::min(m_pause + m_pause, m_limits.longest_pause);
}

void message_sender::check(base::time_point now)
{
    if (m_socket && !m_connected && now >= m_connect_by) {
        drop_connection(now);
    }
}

std::optional<base::time_point> message_sender::next_check() const
{
    return m_socket && !m_connected ? std::optional(m_connect_by) : std::nullopt;
}

} // namespace damaskladder::bus
