#pragma once

#include "base/time.hpp"

namespace damaskladder::membership {

/// Measures the active time of this process: the time during which it was running. A gap between
/// two readings that exceeds max_step counts as max_step, so that a process that was stalled, or
/// whose VM was paused, does not suspect other nodes because of messages that it did not read.
class active_clock {
public:
    explicit active_clock(base::duration max_step) : m_max_step(max_step) {}

    /// Advances the clock to the given time. Returns the gap since the last reading.
    base::duration advance(base::time_point now);

    /// Active time since the first reading.
    base::duration elapsed() const { return m_elapsed; }

private:
    base::duration m_max_step;
    base::duration m_elapsed{};
    base::time_point m_last{};
    bool m_started = false;
};

} // namespace damaskladder::membership
