#include "bus/message_sender.hpp"

#include "bus/frame_decoder.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::bus {

message_sender::message_sender(http::event_loop& loop, const bus_limits& limits, http::address peer)
    : m_loop(loop),
      m_limits(limits),
      m_peer(std::move(peer)),
      m_reconnect_delay(limits.min_reconnect_delay)
{
}

message_sender::~message_sender()
{
    if (m_socket) {
        m_loop.unwatch(m_socket->descriptor());
    }
}

bool message_sender::send(std::string_view message, base::time_point now)
{
    m_last_use = now;
    if (!m_socket) {
        if (now < m_next_attempt) {
            return false;
        }
        connect(now);
        if (!m_socket) {
            return false;
        }
    }
    if (m_output.pending_size() + message.size() >
        static_cast<std::size_t>(m_limits.queue_size.value())) {
        return false;
    }
    append_frame(m_output.bytes(), message);
    if (m_connected) {
        schedule_flush();
    }
    return true;
}

void message_sender::connect(base::time_point now)
{
    m_socket = http::stream_socket::connect(m_peer);
    if (!m_socket) {
        drop_connection(now);
        return;
    }
    m_socket->set_unacknowledged_timeout(m_limits.unacknowledged_timeout);
    m_connect_deadline = now + m_limits.connect_timeout;
    m_loop.watch(m_socket->descriptor(), http::stream_socket::all_events,
                 [this](std::uint32_t events) { handle_events(events); });
}

void message_sender::handle_events(std::uint32_t events)
{
    const auto keep = shared_from_this();
    m_socket->update_readiness(events);
    if (!m_connected) {
        if (!http::stream_socket::signals_writable(events)) {
            return;
        }
        if (!m_socket->finish_connect()) {
            drop_connection(http::event_loop::now());
            return;
        }
        m_connected = true;
        m_reconnect_delay = m_limits.min_reconnect_delay;
    }
    // The peer sends nothing on this connection, so a readable socket means that it was closed.
    if (m_socket->readable()) {
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
    if (m_connected &&
        m_output.send(*m_socket).what == http::stream_socket::io_result::status::failed) {
        drop_connection(http::event_loop::now());
    }
}

void message_sender::drop_connection(base::time_point now)
{
    if (m_socket) {
        m_loop.unwatch(m_socket->descriptor());
        m_socket.reset();
    }
    m_connected = false;
    m_output = {};
    m_next_attempt = now + m_reconnect_delay;
    m_reconnect_delay =
        std::min(m_reconnect_delay + m_reconnect_delay, m_limits.max_reconnect_delay);
}

void message_sender::check_connect_timeout(base::time_point now)
{
    if (m_socket && !m_connected && now >= m_connect_deadline) {
        drop_connection(now);
    }
}

std::optional<base::time_point> message_sender::connect_deadline() const
{
    return m_socket && !m_connected ? std::optional(m_connect_deadline) : std::nullopt;
}

} // namespace damaskladder::bus
