#pragma once

#include "admission/cpu_load_shedder_options.hpp"
#include "base/importance.hpp"
#include "base/time.hpp"

namespace damaskladder::admission {

/// Turns requests away at their entry while the thread that serves them has no time left, because a
/// request that starts then takes processor time from all calls under way and ends late itself.
///
/// Load pattern: a surge of short requests, or of calls from other nodes, on a VM with a small
/// share of a processor. The part that is shed grows while the thread hardly ever waits for work,
/// and falls slower than it grows once it does. Less important requests go first.
class cpu_load_shedder {
public:
    explicit cpu_load_shedder(cpu_load_shedder_options options) : m_options(options) {}

    /// The thread worked and then waited for so long.
    void record(base::duration busy, base::duration idle, base::time_point now);

    /// Whether to shed a request, by a random value of [0, 1).
    bool should_shed(base::importance level, double draw) const;

    /// Part of the least important requests that is shed now.
    double shed_fraction() const { return m_shed_fraction; }

private:
    cpu_load_shedder_options m_options;
    base::duration m_busy{};
    base::duration m_idle{};
    base::time_point m_window_start;
    double m_shed_fraction = 0;
};

} // namespace damaskladder::admission
