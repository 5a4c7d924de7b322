#pragma once

#include "admission/call_outcome.hpp"
#include "admission/limit_options.hpp"
#include "base/slot_count.hpp"
#include "base/time.hpp"

#include <cstdint>

namespace damaskladder::admission {

/// How many calls may run at a backend server at once.
///
/// Starts from the announced slots and is corrected by what calls show. Latency above the
/// undisturbed one, or calls shed by the backend server, lower the limit; latency that stays flat
/// while the limit is in use raises it. When a lower limit costs answers, the backend server has
/// become slower rather than crowded, so the old limit returns and the new latency counts as
/// undisturbed. Costs a few additions per call.
class concurrency_limit {
public:
    explicit concurrency_limit(limit_options options);

    /// New or renewed announcement. A renewal with the same slots changes nothing.
    void announce(base::slot_count slots, bool cold, base::time_point now);

    /// A started call ended. own_latency leaves out the time in which it waited for onward calls;
    /// in_use is the number of running calls including this one.
    void on_finished(call_outcome outcome, base::duration own_latency, base::slot_count in_use,
                     base::time_point now);

    base::slot_count current() const;

    /// Average latency of late; zero until it is known.
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
    /// Undisturbed and recent latency in microseconds; 0 while unknown.
    double m_baseline_latency = 0;
    double m_recent_latency = 0;
    /// Windows that counted so far, up to those that only learn.
    std::int64_t m_windows_seen = 0;
    /// Answers per microsecond of late.
    double m_recent_throughput = 0;
    /// Limit when the current series of reductions began; 0 outside of one.
    double m_limit_before_shrink = 0;
    /// Limit and rate against which the effect of the reductions is judged next.
    double m_checked_limit = 0;
    double m_checked_throughput = 0;
    /// Windows with high latency in a row.
    std::int64_t m_high_latency_windows = 0;

    base::time_point m_window_start;
    double m_latency_sum = 0;
    std::int64_t m_samples = 0;
    std::int64_t m_finished = 0;
    std::int64_t m_overloaded = 0;
    base::slot_count m_max_in_use;
};

} // namespace damaskladder::admission
