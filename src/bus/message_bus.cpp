#include "bus/message_bus.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::bus {

namespace {

constexpr std::size_t read_size = std::size_t{16} * 1024;

} // namespace

message_bus::message_bus(http::event_loop& loop, bus_limits limits, receive_handler handler)
    : m_loop(loop),
      m_limits(limits),
      m_handler(std::move(handler)),
      m_acceptor(loop, [this](http::stream_socket socket) { handle_accepted(std::move(socket)); }),
      m_buffer(read_size)
{
    m_loop.each_round([this](base::time_point now) { return check_connect_timeouts(now); });
}

message_bus::~message_bus()
{
    for (const auto& item : m_receivers) {
        m_loop.unwatch(item.first);
    }
}

base::result<void> message_bus::listen(const std::string& endpoint)
{
    BOOST_LEAF_AUTO(address, http::parse_address(endpoint));
    return m_acceptor.listen(address);
}

void message_bus::handle_accepted(http::stream_socket socket)
{
    const int fd = socket.descriptor();
    const auto receiver =
        std::make_shared<message_receiver>(std::move(socket), m_limits.message_size);
    m_held += receiver->held_size();
    m_receivers[fd] = receiver;
    m_loop.watch(fd, http::stream_socket::input_events,
                 [this, fd](std::uint32_t events) { read(fd, events); });
}

void message_bus::read(int fd, std::uint32_t events)
{
    const auto found = m_receivers.find(fd);
    if (found == m_receivers.end()) {
        return;
    }
    const auto receiver = found->second;
    const auto held_before = receiver->held_size();
    const auto result = receiver->read(events, m_buffer, m_handler);
    m_held = m_held - held_before + receiver->held_size();
    const bool holds_too_much = m_held > static_cast<std::size_t>(m_limits.incomplete_size.value());
    if (result == message_receiver::read_result::closed || holds_too_much) {
        m_held -= receiver->held_size();
        m_loop.unwatch(fd);
        m_receivers.erase(fd);
    }
    else if (result == message_receiver::read_result::more && !receiver->set_scheduled(true)) {
        m_loop.post([this, fd, scheduled = std::weak_ptr(receiver)] {
            if (const auto reading = scheduled.lock()) {
                reading->set_scheduled(false);
                read(fd, 0);
            }
        });
    }
}

bool message_bus::send(const std::string& endpoint, std::string_view message)
{
    message_sender* sender = sender_to(endpoint);
    if (sender == nullptr) {
        return false;
    }
    const bool accepted = sender->send(message, http::event_loop::now());
    if (const auto due = sender->connect_deadline()) {
        m_next_connect_deadline = std::min(*due, m_next_connect_deadline.value_or(*due));
    }
    return accepted;
}

message_sender* message_bus::sender_to(const std::string& endpoint)
{
    const auto found = m_senders.find(endpoint);
    if (found != m_senders.end()) {
        return found->second.get();
    }
    const auto address = base::handle_failure(
        [&]() -> base::result<std::optional<http::address>> {
            BOOST_LEAF_AUTO(parsed, http::parse_address(endpoint));
            return std::optional(parsed);
        },
        [](const base::failure&) { return std::optional<http::address>(); });
    if (!address) {
        return nullptr;
    }
    if (m_senders.size() >= m_limits.max_peers) {
        close_least_recently_used();
    }
    const auto added = std::make_shared<message_sender>(m_loop, m_limits, *address);
    m_senders[endpoint] = added;
    return added.get();
}

void message_bus::close_least_recently_used()
{
    const auto least_recently_used =
        std::min_element(m_senders.begin(), m_senders.end(), [](const auto& a, const auto& b) {
            return a.second->last_use() < b.second->last_use();
        });
    m_senders.erase(least_recently_used);
}

std::optional<base::time_point> message_bus::check_connect_timeouts(base::time_point now)
{
    if (!m_next_connect_deadline || now < *m_next_connect_deadline) {
        return m_next_connect_deadline;
    }
    m_next_connect_deadline.reset();
    for (const auto& item : m_senders) {
        item.second->check_connect_timeout(now);
        if (const auto due = item.second->connect_deadline()) {
            m_next_connect_deadline = std::min(*due, m_next_connect_deadline.value_or(*due));
        }
    }
    return m_next_connect_deadline;
}

} // namespace damaskladder::bus
