#pragma once

#include "bus/bus_limits.hpp"
#include "http/address.hpp"
#include "http/event_loop.hpp"
#include "http/output_buffer.hpp"
#include "http/stream_socket.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace damaskladder::bus {

/// The outgoing connection to one peer. It is opened when there is a message to send, and reopened
/// after a failure; messages that were not sent before the failure are dropped.
class message_sender : public std::enable_shared_from_this<message_sender> {
public:
    message_sender(http::event_loop& loop, const bus_limits& limits, http::address peer);
    ~message_sender();
    message_sender(const message_sender&) = delete;
    message_sender& operator=(const message_sender&) = delete;

    /// Sends without blocking. Messages sent within one round of the loop are written together.
    /// Returns false if the message was dropped at once.
    bool send(std::string_view message, base::time_point now);

    /// Aborts a connection attempt whose deadline has passed.
    void check_connect_timeout(base::time_point now);
    /// Deadline of the connection attempt in progress, if any.
    std::optional<base::time_point> connect_deadline() const;

    base::time_point last_use() const { return m_last_use; }

private:
    void connect(base::time_point now);
    void handle_events(std::uint32_t events);
    void schedule_flush();
    void flush();
    void drop_connection(base::time_point now);

    http::event_loop& m_loop;
    const bus_limits& m_limits;
    http::address m_peer;
    std::optional<http::stream_socket> m_socket;
    bool m_connected = false;
    bool m_flush_scheduled = false;
    base::time_point m_connect_deadline;
    base::time_point m_next_attempt;
    base::duration m_reconnect_delay;
    http::output_buffer m_output;
    base::time_point m_last_use;
};

} // namespace damaskladder::bus
