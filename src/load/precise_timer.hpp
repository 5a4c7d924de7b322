#pragma once

#include "base/time.hpp"
#include "http/event_loop.hpp"

namespace damaskladder::load {

/// Wakes an event loop with the precision of the kernel's timers. The loop's own deadlines are
/// rounded up to whole milliseconds, which would add up to 1 ms to each measured latency.
class precise_timer {
public:
    explicit precise_timer(http::event_loop& loop);
    ~precise_timer();
    precise_timer(const precise_timer&) = delete;
    precise_timer& operator=(const precise_timer&) = delete;

    /// Starts a round of the loop after a delay; replaces an earlier call.
    void wake_after(base::duration delay);

private:
    http::event_loop& m_loop;
    int m_fd = -1;
};

} // namespace damaskladder::load
