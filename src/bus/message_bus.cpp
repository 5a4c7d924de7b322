#include "bus/message_bus.hpp"

#include <sys/epoll.h>

#include <algorithm>
#include <utility>

namespace damaskladder::bus {

namespace {

constexpr std::size_t read_size = std::size_t{64} * 1024;
/// Connections accepted in one round, so that a flood of them leaves time for messages.
constexpr int max_accepted = 64;

} // namespace

message_bus::message_bus(http::event_loop& loop, bus_limits limits, receive_handler handler)
    : m_loop(loop), m_limits(limits), m_handler(std::move(handler)), m_buffer(read_size)
{
    m_loop.each_round([this](base::time_point now) { return check(now); });
}

message_bus::~message_bus()
{
    if (m_listener) {
        m_loop.unwatch(m_listener->descriptor());
    }
    for (const auto& item : m_receivers) {
        m_loop.unwatch(item.first);
    }
}

base::result<void> message_bus::listen(const std::string& endpoint)
{
    BOOST_LEAF_AUTO(address, http::parse_address(endpoint));
    BOOST_LEAF_AUTO(opened, http::listener::open(address));
    m_listener.emplace(std::move(opened));
    watch_listener();
    return {};
}

void message_bus::watch_listener()
{
    m_loop.watch(m_listener->descriptor(), EPOLLIN, [this](std::uint32_t) { accept_waiting(); });
}

void message_bus::pause_accepting()
{
    m_loop.unwatch(m_listener->descriptor());
    m_loop.call_at(http::event_loop::now() + http::listener::pause_when_exhausted,
                   [this, alive = std::weak_ptr<bool>(m_alive)] {
                       if (!alive.expired()) {
                           watch_listener();
                       }
                   });
}

void message_bus::accept_waiting()
{
    for (int accepted = 0; accepted < max_accepted; ++accepted) {
        auto made = m_listener->accept();
        if (!made) {
            if (m_listener->exhausted()) {
                pause_accepting();
            }
            return;
        }
        const int fd = made->descriptor();
        m_receivers[fd] =
            std::make_shared<message_receiver>(std::move(*made), m_limits.message_size);
        m_loop.watch(fd,
                     static_cast<std::uint32_t>(EPOLLIN) | static_cast<std::uint32_t>(EPOLLRDHUP) |
                         static_cast<std::uint32_t>(EPOLLET),
                     [this, fd](std::uint32_t events) { read(fd, events); });
    }
}

void message_bus::read(int fd, std::uint32_t events)
{
    const auto found = m_receivers.find(fd);
    if (found == m_receivers.end()) {
        return;
    }
    const auto receiver = found->second;
    constexpr auto leaving = static_cast<std::uint32_t>(EPOLLRDHUP) |
                             static_cast<std::uint32_t>(EPOLLHUP) |
                             static_cast<std::uint32_t>(EPOLLERR);
    if (!receiver->read(m_buffer, (events & leaving) != 0, m_handler)) {
        m_loop.unwatch(fd);
        m_receivers.erase(fd);
    }
}

void message_bus::send(const std::string& endpoint, std::string_view message)
{
    message_sender* sender = sender_to(endpoint);
    if (sender == nullptr) {
        return;
    }
    sender->send(message, http::event_loop::now());
    if (const auto due = sender->next_check()) {
        m_check_at = std::min(*due, m_check_at.value_or(*due));
    }
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
        close_oldest();
    }
    const auto added = std::make_shared<message_sender>(m_loop, m_limits, *address);
    m_senders[endpoint] = added;
    return added.get();
}

void message_bus::close_oldest()
{
    const auto oldest =
        std::min_element(m_senders.begin(), m_senders.end(), [](const auto& a, const auto& b) {
            return a.second->last_use() < b.second->last_use();
        });
    m_senders.erase(oldest);
}

std::optional<base::time_point> message_bus::check(base::time_point now)
{
    if (!m_check_at || now < *m_check_at) {
        return m_check_at;
    }
    m_check_at.reset();
    for (const auto& item : m_senders) {
        item.second->check(now);
        if (const auto due = item.second->next_check()) {
            m_check_at = std::min(*due, m_check_at.value_or(*due));
        }
    }
    return m_check_at;
}

} // namespace damaskladder::bus
