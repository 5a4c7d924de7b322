#include "admission/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace damaskladder::admission {
namespace {

/// Relative growth per window while the limit is below or above the announced slots.
constexpr double growth_below_announced = 0.25;
constexpr double growth_above_announced = 0.02;
/// Minimum growth per window above the announced slots; relative growth alone would take seconds
/// for a small limit.
constexpr double min_growth_slots = 0.5;
/// Strongest reduction in one window.
constexpr double min_shrink_factor = 0.85;
/// High-latency windows ignored before the first reduction. They mix calls from before and after
/// the change in latency, so the effect of a reduction cannot be measured against them.
constexpr std::int64_t settling_windows = 2;
/// Reduction per window while the backend server sheds load.
constexpr double overload_shrink_factor = 0.9;
/// The throughput is checked each time the limit has fallen to shrink_check_ratio of its value at
/// the last check. Throughput below min_throughput_ratio of the earlier one shows that calls were
/// not queued inside the backend server: it has become slower.
constexpr double shrink_check_ratio = 0.75;
constexpr double min_throughput_ratio = 0.87;
/// Weight of a new window in the exponential moving averages.
constexpr double recent_smoothing = 0.4;
constexpr double baseline_smoothing_down = 0.1;
/// Latency below this ratio to the baseline is not noise: the backend server has become faster.
constexpr double speedup_ratio = 0.75;
constexpr double baseline_smoothing_up = 0.05;
/// Windows before the limit is adjusted. The first window contains only calls that finished
/// quickly, and a baseline taken from it alone would stay too low permanently.
constexpr std::int64_t warmup_windows = 3;
/// The limit counts as in use when the peak number of running calls reaches this fraction of it.
constexpr double in_use_fraction = 0.9;

} // namespace

concurrency_limit::concurrency_limit(limit_options options) : m_options(options) {}

void concurrency_limit::announce(base::slot_count slots, bool cold, base::time_point now)
{
    const auto announced = static_cast<double>(std::max<std::int64_t>(1, slots.value()));
    if (announced == m_slots) {
        return;
    }
    if (m_slots == 0) {
        m_limit = cold ? announced * m_options.cold_factor : announced;
        m_window_start = now;
    }
    else {
        m_limit *= announced / m_slots;
    }
    m_slots = announced;
    m_limit_before_shrink = 0;
    clamp();
}

void concurrency_limit::on_finished(call_outcome outcome, base::duration own_latency,
                                    base::slot_count in_use, base::time_point now)
{
    m_max_in_use = std::max(m_max_in_use, in_use);
    if (outcome != call_outcome::cancelled) {
        ++m_finished;
    }
    if (outcome == call_outcome::overloaded) {
        ++m_overloaded;
    }
    if (outcome == call_outcome::served || outcome == call_outcome::timed_out) {
        m_latency_sum += static_cast<double>(std::max<std::int64_t>(1, own_latency.count()));
        ++m_samples;
    }
    if (now - m_window_start >= window_length() && m_finished >= m_options.min_samples) {
        close_window(now);
    }
}

base::slot_count concurrency_limit::current() const
{
    return base::slot_count(std::max<std::int64_t>(1, std::llround(std::floor(m_limit + 0.01))));
}

base::duration concurrency_limit::typical_latency() const
{
    if (m_recent_latency == 0 && m_samples > 0) {
        return base::duration(std::llround(m_latency_sum / static_cast<double>(m_samples)));
    }
    return base::duration(std::llround(m_recent_latency));
}

void concurrency_limit::close_window(base::time_point now)
{
    const double overloaded_fraction = static_cast<double>(m_overloaded) /
                                       static_cast<double>(std::max<std::int64_t>(1, m_finished));
    if (overloaded_fraction > m_options.overload_fraction) {
        m_limit *= overload_shrink_factor;
        m_limit_before_shrink = 0;
        clamp();
    }
    else if (m_samples >= m_options.min_samples) {
        const auto length =
            static_cast<double>(std::max<std::int64_t>(1, (now - m_window_start).count()));
        const auto samples = static_cast<double>(m_samples);
        adjust(m_latency_sum / samples, samples / length);
    }
    m_window_start = now;
    m_latency_sum = 0;
    m_samples = 0;
    m_finished = 0;
    m_overloaded = 0;
    m_max_in_use = base::slot_count(0);
}

void concurrency_limit::adjust(double mean_latency, double throughput)
{
    m_recent_throughput =
        m_recent_throughput == 0
            ? throughput
            : m_recent_throughput + recent_smoothing * (throughput - m_recent_throughput);
    m_recent_latency =
        m_recent_latency == 0
            ? mean_latency
            : m_recent_latency + recent_smoothing * (mean_latency - m_recent_latency);
    if (m_windows_seen < warmup_windows) {
        ++m_windows_seen;
        m_baseline_latency = m_recent_latency;
        return;
    }
    const bool in_use = static_cast<double>(m_max_in_use.value()) >=
                        in_use_fraction * static_cast<double>(current().value());
    if (m_recent_latency < speedup_ratio * m_baseline_latency) {
        m_baseline_latency = m_recent_latency;
    }
    else if (m_recent_latency < m_baseline_latency) {
        m_baseline_latency += baseline_smoothing_down * (m_recent_latency - m_baseline_latency);
    }
    else if (!in_use) {
        m_baseline_latency += baseline_smoothing_up * (m_recent_latency - m_baseline_latency);
    }
    const double ratio = m_recent_latency / m_baseline_latency;
    if (ratio > m_options.high_latency_ratio) {
        ++m_high_latency_windows;
        if (in_use && m_high_latency_windows > settling_windows) {
            shrink(std::max(min_shrink_factor, m_options.high_latency_ratio / ratio), mean_latency,
                   throughput);
        }
        return;
    }
    m_high_latency_windows = 0;
    m_limit_before_shrink = 0;
    if (!in_use) {
        return;
    }
    if (ratio < m_options.flat_latency_ratio ||
        (ratio < m_options.low_latency_ratio && m_limit < m_slots)) {
        grow();
    }
    else if (ratio > m_options.low_latency_ratio && m_limit > m_slots) {
        m_limit = std::max(m_slots, m_limit * (1 - growth_above_announced));
    }
}

void concurrency_limit::shrink(double factor, double mean_latency, double throughput)
{
    if (m_limit_before_shrink == 0) {
        m_limit_before_shrink = m_limit;
        m_checked_limit = m_limit;
        m_checked_throughput = m_recent_throughput;
    }
    else if (m_limit <= std::max(shrink_check_ratio * m_checked_limit, min_limit())) {
        if (throughput < min_throughput_ratio * m_checked_throughput) {
            m_limit = m_limit_before_shrink;
            m_baseline_latency = mean_latency;
            m_recent_latency = mean_latency;
            m_limit_before_shrink = 0;
            m_high_latency_windows = 0;
            return;
        }
        m_checked_limit = m_limit;
        m_checked_throughput = m_recent_throughput;
    }
    m_limit *= factor;
    clamp();
}

void concurrency_limit::grow()
{
    if (m_limit < m_slots) {
        m_limit = std::min(m_slots, m_limit + std::max(1.0, m_limit * growth_below_announced));
    }
    else {
        m_limit += std::max(min_growth_slots, m_limit * growth_above_announced);
    }
    clamp();
}

void concurrency_limit::clamp()
{
    m_limit =
        std::clamp(m_limit, min_limit(), std::max(min_limit(), m_slots * m_options.max_factor));
}

double concurrency_limit::min_limit() const
{
    return std::max(1.0, m_slots * m_options.min_factor);
}

base::duration concurrency_limit::window_length() const
{
    return std::clamp(typical_latency(), m_options.min_window, m_options.max_window);
}

} // namespace damaskladder::admission
