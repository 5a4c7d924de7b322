#pragma once

#include "base/time.hpp"

#include <optional>

namespace damaskladder::propagation {

/// Decides when to report that a node no longer knows whether its settings are current, and when it
/// knows again. A loss is repeated at intervals while it lasts.
class confirmation_monitor {
public:
    enum class report { none, unconfirmed, confirmed };

    /// Above `limit` the settings count as unconfirmed. At the start they count as confirmed, so a
    /// node that gets an answer within `limit` reports nothing.
    confirmation_monitor(base::duration limit, base::duration repeat_interval)
        : m_limit(limit), m_repeat_interval(repeat_interval)
    {
    }

    /// Call often. `staleness` is that of propagation_node::staleness(now); none before the first
    /// answer, in which case the time since the first call counts.
    report update(const std::optional<base::duration>& staleness, base::time_point now);

private:
    base::duration m_limit;
    base::duration m_repeat_interval;
    std::optional<base::time_point> m_started;
    /// Set while the settings are unconfirmed.
    std::optional<base::time_point> m_next_repeat;
};

} // namespace damaskladder::propagation
