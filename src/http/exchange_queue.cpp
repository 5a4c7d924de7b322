#include "http/exchange_queue.hpp"

#include "http/exchange.hpp"

#include <iterator>
#include <utility>

namespace damaskladder::http {

std::size_t exchange_queue::position(const exchange& of) const
{
    if (&of == m_front.get()) {
        return 0;
    }
    std::size_t before = 1;
    for (const auto& each : m_behind) {
        if (each.get() == &of) {
            break;
        }
        ++before;
    }
    return before;
}

std::vector<std::shared_ptr<exchange>> exchange_queue::ahead_of(const exchange& of) const
{
    std::vector<std::shared_ptr<exchange>> found;
    const auto count = position(of);
    if (count > 0) {
        found.reserve(count);
        found.push_back(m_front);
        const auto end = m_behind.begin() + static_cast<std::ptrdiff_t>(count - 1);
        found.insert(found.end(), m_behind.begin(), end);
    }
    return found;
}

std::vector<std::shared_ptr<exchange>> exchange_queue::behind(const exchange& of) const
{
    const auto first = m_behind.begin() + static_cast<std::ptrdiff_t>(position(of));
    return {first, m_behind.end()};
}

void exchange_queue::push(std::shared_ptr<exchange> added)
{
    if (empty()) {
        m_front = std::move(added);
    }
    else {
        m_behind.push_back(std::move(added));
    }
}

std::shared_ptr<exchange> exchange_queue::pop_front()
{
    auto ended = std::exchange(m_front, nullptr);
    if (m_behind.empty()) {
        return ended;
    }
    m_front = std::move(m_behind.front());
    m_behind.erase(m_behind.begin());
    if (m_behind.empty()) {
        // An idle connection keeps no memory for a series of requests that has ended.
        m_behind = {};
    }
    return ended;
}

std::vector<std::shared_ptr<exchange>> exchange_queue::remove_behind(const exchange& last)
{
    const auto first = m_behind.begin() + static_cast<std::ptrdiff_t>(position(last));
    std::vector<std::shared_ptr<exchange>> removed(std::make_move_iterator(first),
                                                   std::make_move_iterator(m_behind.end()));
    m_behind.erase(first, m_behind.end());
    return removed;
}

std::vector<std::shared_ptr<exchange>> exchange_queue::clear()
{
    std::vector<std::shared_ptr<exchange>> removed;
    if (m_front != nullptr) {
        removed.reserve(size());
        removed.push_back(std::exchange(m_front, nullptr));
        removed.insert(removed.end(), std::make_move_iterator(m_behind.begin()),
                       std::make_move_iterator(m_behind.end()));
        m_behind = {};
    }
    return removed;
}

std::size_t exchange_queue::waiting_bytes() const
{
    std::size_t bytes = 0;
    for (const auto& each : m_behind) {
        bytes += each->waiting_bytes();
    }
    return bytes;
}

} // namespace damaskladder::http
