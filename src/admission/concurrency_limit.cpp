#include "admission/concurrency_limit.hpp"

#include <algorithm>
#include <cmath>

namespace damaskladder::admission {
namespace {

/// Growth of a window below and above the announced slots.
constexpr double fast_growth = 0.25;
constexpr double slow_growth = 0.02;
/// Least growth above the announced slots; a small limit would take seconds otherwise.
constexpr double least_growth = 0.5;
/// Largest reduction of a window.
constexpr double largest_shrink = 0.85;
/// High windows before the first reduction. The first ones average calls from before and after the
/// change, so a reduction could not be judged by them.
constexpr std::int64_t settling_windows = 2;
/// Reduction when the backend server sheds load.
constexpr double overload_shrink = 0.9;
/// When the limit has fallen to this part, a rate of answers below that part of the earlier one
/// shows that the calls did not wait inside the backend server: it has become slower.
constexpr double probe_depth = 0.75;
constexpr double probe_rate = 0.87;
/// Weight of a new window in the averages.
constexpr double recent_gain = 0.4;
constexpr double base_gain_down = 0.1;
/// Latency below this part of the undisturbed one is no noise: the backend server got faster.
constexpr double faster_part = 0.75;
constexpr double base_gain_up = 0.05;
/// Windows before the limit is corrected. The first one holds only the calls that were quick, and
/// an undisturbed latency learnt from it alone is too low for ever.
constexpr std::int64_t learning_windows = 3;
/// The limit counts as in use when this part of it runs.
constexpr double in_use_part = 0.9;

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
    m_shrunk_from = 0;
    clamp();
}

void concurrency_limit::on_finished(call_outcome outcome, base::duration own_latency,
                                    base::slot_count in_use, base::time_point now)
{
    m_most_in_use = std::max(m_most_in_use, in_use);
    if (outcome != call_outcome::cancelled) {
        ++m_ended;
    }
    if (outcome == call_outcome::overloaded) {
        ++m_overloaded;
    }
    if (outcome == call_outcome::served || outcome == call_outcome::timed_out) {
        m_latency_sum += static_cast<double>(std::max<std::int64_t>(1, own_latency.count()));
        ++m_samples;
    }
    if (now - m_window_start >= window_length() && m_ended >= m_options.min_samples) {
        close_window(now);
    }
}

base::slot_count concurrency_limit::current() const
{
    return base::slot_count(std::max<std::int64_t>(1, std::llround(std::floor(m_limit + 0.01))));
}

base::duration concurrency_limit::typical_latency() const
{
    if (m_recent == 0 && m_samples > 0) {
        return base::duration(std::llround(m_latency_sum / static_cast<double>(m_samples)));
    }
    return base::duration(std::llround(m_recent));
}

void concurrency_limit::close_window(base::time_point now)
{
    const double shed_part =
        static_cast<double>(m_overloaded) / static_cast<double>(std::max<std::int64_t>(1, m_ended));
    if (shed_part > m_options.overload_part) {
        m_limit *= overload_shrink;
        m_shrunk_from = 0;
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
    m_ended = 0;
    m_overloaded = 0;
    m_most_in_use = base::slot_count(0);
}

void concurrency_limit::adjust(double mean, double rate)
{
    m_recent_rate =
        m_recent_rate == 0 ? rate : m_recent_rate + recent_gain * (rate - m_recent_rate);
    m_recent = m_recent == 0 ? mean : m_recent + recent_gain * (mean - m_recent);
    if (m_windows < learning_windows) {
        ++m_windows;
        m_base = m_recent;
        return;
    }
    const bool in_use = static_cast<double>(m_most_in_use.value()) >=
                        in_use_part * static_cast<double>(current().value());
    if (m_recent < faster_part * m_base) {
        m_base = m_recent;
    }
    else if (m_recent < m_base) {
        m_base += base_gain_down * (m_recent - m_base);
    }
    else if (!in_use) {
        m_base += base_gain_up * (m_recent - m_base);
    }
    const double ratio = m_recent / m_base;
    if (ratio > m_options.high_latency) {
        ++m_high_windows;
        if (in_use && m_high_windows > settling_windows) {
            shrink(std::max(largest_shrink, m_options.high_latency / ratio), mean, rate);
        }
        return;
    }
    m_high_windows = 0;
    m_shrunk_from = 0;
    if (!in_use) {
        return;
    }
    if (ratio < m_options.flat_latency || (ratio < m_options.low_latency && m_limit < m_slots)) {
        grow();
    }
    else if (ratio > m_options.low_latency && m_limit > m_slots) {
        m_limit = std::max(m_slots, m_limit * (1 - slow_growth));
    }
}

void concurrency_limit::shrink(double factor, double mean, double rate)
{
    if (m_shrunk_from == 0) {
        m_shrunk_from = m_limit;
        m_probed_from = m_limit;
        m_rate_before = m_recent_rate;
    }
    else if (m_limit <= std::max(probe_depth * m_probed_from, lowest())) {
        if (rate < probe_rate * m_rate_before) {
            m_limit = m_shrunk_from;
            m_base = mean;
            m_recent = mean;
            m_shrunk_from = 0;
            m_high_windows = 0;
            return;
        }
        m_probed_from = m_limit;
        m_rate_before = m_recent_rate;
    }
    m_limit *= factor;
    clamp();
}

void concurrency_limit::grow()
{
    if (m_limit < m_slots) {
        m_limit = std::min(m_slots, m_limit + std::max(1.0, m_limit * fast_growth));
    }
    else {
        m_limit += std::max(least_growth, m_limit * slow_growth);
    }
    clamp();
}

void concurrency_limit::clamp()
{
    m_limit = std::clamp(m_limit, lowest(), std::max(lowest(), m_slots * m_options.max_factor));
}

double concurrency_limit::lowest() const
{
    return std::max(1.0, m_slots * m_options.min_factor);
}

base::duration concurrency_limit::window_length() const
{
    return std::clamp(typical_latency(), m_options.min_window, m_options.max_window);
}

} // namespace damaskladder::admission
