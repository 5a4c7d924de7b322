#pragma once

#include "admission/cpu_load_shedder_options.hpp"
#include "base/importance.hpp"
#include "base/time.hpp"

namespace damaskladder::admission {

/// Sheds requests at the entry node while the serving thread is saturated, because a request that
/// starts then takes CPU time from all calls in progress and finishes late itself.
///
/// Load pattern: a surge of short requests, or of calls from other nodes, on a VM with a small CPU
/// share. The shed fraction increases while the thread is almost never idle, and decreases more
/// slowly once it is. Less important requests are shed first.
class cpu_load_shedder {
public:
    explicit cpu_load_shedder(cpu_load_shedder_options options) : m_options(options) {}

    /// Records one loop iteration of the thread: time spent working, then time spent idle.
    void record(base::duration busy, base::duration idle, base::time_point now);

    /// Returns whether to shed a request; draw is a uniform random value in [0, 1).
    bool should_shed(base::importance level, double draw) const;

    /// Fraction of the least important requests that is currently shed.
    double shed_fraction() const { return m_shed_fraction; }

private:
    cpu_load_shedder_options m_options;
    base::duration m_busy{};
    base::duration m_idle{};
    base::time_point m_window_start;
    double m_shed_fraction = 0;
};

} // namespace damaskladder::admission
