#pragma once

#include "base/result.hpp"
#include "bus/bus_limits.hpp"
#include "bus/message_receiver.hpp"
#include "bus/message_sender.hpp"
#include "http/acceptor.hpp"
#include "http/event_loop.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace damaskladder::bus {

/// Sends byte strings between processes over TCP, with one listener per process and one outgoing
/// connection per peer. Delivery is not guaranteed: messages to a peer that is down, unreachable or
/// slow are dropped, and the protocols on top resend them. Used only on the loop's thread.
class message_bus {
public:
    using receive_handler = std::function<void(std::string)>;

    message_bus(http::event_loop& loop, bus_limits limits, receive_handler handler);
    ~message_bus();
    message_bus(const message_bus&) = delete;
    message_bus& operator=(const message_bus&) = delete;

    /// Listens on "IP:PORT". Fails with io or invalid_argument.
    base::result<void> listen(const std::string& endpoint);
    /// The bound port.
    std::uint16_t port() const { return m_acceptor.port(); }

    /// Sends a message to "IP:PORT" without blocking. Returns false if it was dropped at once: the
    /// endpoint is malformed, its queue is full, or the next attempt to connect is not due yet.
    bool send(const std::string& endpoint, std::string_view message);

private:
    std::optional<base::time_point> check_connect_timeouts(base::time_point now);
    void handle_accepted(http::stream_socket socket);
    void read(int fd, std::uint32_t events);
    message_sender* sender_to(const std::string& endpoint);
    void close_least_recently_used();

    http::event_loop& m_loop;
    bus_limits m_limits;
    receive_handler m_handler;
    http::acceptor m_acceptor;
    std::vector<char> m_buffer;
    /// Earliest deadline of the connection attempts in progress.
    std::optional<base::time_point> m_next_connect_deadline;
    /// By descriptor.
    std::unordered_map<int, std::shared_ptr<message_receiver>> m_receivers;
    /// Memory that all receivers hold for incomplete messages.
    std::size_t m_held = 0;
    std::unordered_map<std::string, std::shared_ptr<message_sender>> m_senders;
};

} // namespace damaskladder::bus
