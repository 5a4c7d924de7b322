#pragma once

#include "base/time.hpp"

namespace damaskladder::membership {

/// Counts the time during which this process was running. A gap between two readings longer than
/// the given step counts as one step, so that a process that was stalled, or whose VM was paused,
/// does not blame others for the messages that it did not read.
class active_clock {
public:
    explicit active_clock(base::duration max_step) : m_max_step(max_step) {}

    /// Moves the clock on to the given time. Returns the gap since the last reading.
    base::duration advance(base::time_point now);

    /// Time awake since the first reading.
    base::duration elapsed() const { return m_elapsed; }

private:
    base::duration m_max_step;
    base::duration m_elapsed{};
    base::time_point m_last{};
    bool m_started = false;
};

} // namespace damaskladder::membership
