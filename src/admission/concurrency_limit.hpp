#pragma once

#include "admission/call_outcome.hpp"
#include "admission/limit_options.hpp"
#include "base/slot_count.hpp"
#include "base/time.hpp"

#include <cstdint>

namespace damaskladder::admission {

/// Adaptive limit on the number of calls that run at a backend server concurrently.
///
/// Starts at the announced slots and adapts to measured latency and outcomes. Latency above the
/// baseline (the latency without queueing inside the backend server), or calls shed by the backend
/// server, reduce the limit; latency near the baseline while the limit is in use raises it. If a
/// reduction lowers throughput, the backend server has become slower rather than overloaded, so the
/// previous limit is restored and the current latency becomes the baseline. O(1) per call.
class concurrency_limit {
public:
    explicit concurrency_limit(limit_options options);

    /// Handles a new or renewed announcement. A renewal with the same slots has no effect.
    void announce(base::slot_count slots, bool cold, base::time_point now);

    /// Records the end of a started call. own_latency excludes the time spent waiting for onward
    /// calls; in_use is the number of running calls including this one.
    void on_finished(call_outcome outcome, base::duration own_latency, base::slot_count in_use,
                     base::time_point now);

    base::slot_count current() const;

    /// Moving average of the latency; zero until there is a sample.
    base::duration typical_latency() const;

private:
    void close_window(base::time_point now);
    void adjust(double mean_latency, double throughput);
    void shrink(double factor, double mean_latency, double throughput);
    void grow();
    void clamp();
    double min_limit() const;
    base::duration window_length() const;

    limit_options m_options;
    double m_slots = 0;
    double m_limit = 0;
    /// Baseline and recent latency in microseconds; 0 while unknown.
    double m_baseline_latency = 0;
    double m_recent_latency = 0;
    /// Windows evaluated so far; stops counting at warmup_windows.
    std::int64_t m_windows_seen = 0;
    /// Moving average of the answers per microsecond.
    double m_recent_throughput = 0;
    /// Limit before the current series of reductions; 0 if there is none.
    double m_limit_before_shrink = 0;
    /// Limit and throughput that the next check of the reductions compares against.
    double m_checked_limit = 0;
    double m_checked_throughput = 0;
    /// Consecutive windows with high latency.
    std::int64_t m_high_latency_windows = 0;

    base::time_point m_window_start;
    double m_latency_sum = 0;
    std::int64_t m_samples = 0;
    std::int64_t m_finished = 0;
    std::int64_t m_overloaded = 0;
    base::slot_count m_max_in_use;
};

} // namespace damaskladder::admission
