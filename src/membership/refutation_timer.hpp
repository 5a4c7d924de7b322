#pragma once

#include "base/time.hpp"

#include <optional>

namespace damaskladder::membership {

/// Schedules the refutation of records about this node that are newer than its own: a tombstone or
/// a record of an earlier run. The first refutation is immediate. If such records keep arriving,
/// because most observers do not receive the node's heartbeats or two nodes have the same id, the
/// delay doubles each time, which limits the number of updates sent through the fleet.
class refutation_timer {
public:
    explicit refutation_timer(base::duration max_delay) : m_max_delay(max_delay) {}

    /// Schedules a refutation. Has no effect if one is already scheduled.
    void schedule(base::time_point now);

    /// Returns true once when the scheduled refutation is due.
    bool take_due(base::time_point now);

private:
    base::duration m_max_delay;
    base::duration m_delay{};
    base::time_point m_last{};
    bool m_refuted = false;
    std::optional<base::time_point> m_due;
};

} // namespace damaskladder::membership
