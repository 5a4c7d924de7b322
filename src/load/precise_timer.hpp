#pragma once

#include "base/time.hpp"
#include "http/event_loop.hpp"

namespace damaskladder::load {

/// Wakes an event loop with the precision of kernel timers. The loop rounds its own deadlines up to
/// whole milliseconds, which would add up to 1 ms to each measured latency.
class precise_timer {
public:
    explicit precise_timer(http::event_loop& loop);
    ~precise_timer();
    precise_timer(const precise_timer&) = delete;
    precise_timer& operator=(const precise_timer&) = delete;

    /// Wakes the loop after the delay; replaces a pending wake-up.
    void wake_after(base::duration delay);

private:
    http::event_loop& m_loop;
    int m_fd = -1;
};

} // namespace damaskladder::load
