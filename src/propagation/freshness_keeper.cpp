#include "propagation/freshness_keeper.hpp"

#include <algorithm>
#include <cstddef>

namespace damaskladder::propagation {

namespace {

constexpr std::size_t waiting_stamps = 16;

} // namespace

void freshness_keeper::add(const freshness_stamp& stamp, base::settings_version in_force)
{
    if (stamp.version <= in_force) {
        take(stamp);
        return;
    }
    if (m_waiting.size() >= waiting_stamps) {
        m_waiting.pop_front();
    }
    m_waiting.push_back(stamp);
}

void freshness_keeper::came_into_force(base::settings_version in_force)
{
    for (const freshness_stamp& stamp : m_waiting) {
        if (stamp.version <= in_force) {
            take(stamp);
        }
    }
    std::erase_if(m_waiting, [&](const auto& stamp) { return stamp.version <= in_force; });
}

void freshness_keeper::take(const freshness_stamp& stamp)
{
    // Both bounds grow at the same rate, so their order does not depend on the time of comparison.
    const base::time_point later =
        m_best.has_value() ? std::max(stamp.sent, m_best->sent) : stamp.sent;
    if (!m_best.has_value() || stamp.bound(later) < m_best->bound(later)) {
        m_best = stamp;
    }
}

} // namespace damaskladder::propagation
