#include "propagation/freshness_tracker.hpp"

#include <algorithm>
#include <cstddef>

namespace damaskladder::propagation {

namespace {

constexpr std::size_t max_pending_stamps = 16;

} // namespace

void freshness_tracker::add(const freshness_stamp& stamp, base::settings_version applied_version)
{
    if (stamp.version <= applied_version) {
        update_best(stamp);
        return;
    }
    if (m_pending.size() >= max_pending_stamps) {
        m_pending.pop_front();
    }
    m_pending.push_back(stamp);
}

void freshness_tracker::version_applied(base::settings_version applied_version)
{
    for (const freshness_stamp& stamp : m_pending) {
        if (stamp.version <= applied_version) {
            update_best(stamp);
        }
    }
    std::erase_if(m_pending, [&](const auto& stamp) { return stamp.version <= applied_version; });
}

void freshness_tracker::update_best(const freshness_stamp& stamp)
{
    // Both bounds grow at the same rate, so they may be compared at any time.
    const base::time_point later =
        m_best.has_value() ? std::max(stamp.sent, m_best->sent) : stamp.sent;
    if (!m_best.has_value() || stamp.staleness_bound(later) < m_best->staleness_bound(later)) {
        m_best = stamp;
    }
}

} // namespace damaskladder::propagation
