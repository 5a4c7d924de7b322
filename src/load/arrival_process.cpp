#include "load/arrival_process.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace damaskladder::load {

namespace {

double in_seconds(base::duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

arrival_process::arrival_process(request_rate rate, const std::vector<surge_settings>& surges,
                                 base::duration duration, base::random_source random)
    : m_random(std::move(random))
{
    std::set<run_offset> ends = {duration};
    for (const auto& surge : surges) {
        ends.insert(std::min(surge.start, duration));
        ends.insert(std::min(surge.start + surge.length, duration));
    }
    run_offset start{0};
    for (const auto end : ends) {
        if (end == start) {
            continue;
        }
        auto current = rate;
        for (const auto& surge : surges) {
            if (surge.start <= start && end <= surge.start + surge.length) {
                current = current * surge.factor.value();
            }
        }
        m_segments.push_back({in_seconds(end), current});
        start = end;
    }
}

// Not std::exponential_distribution, because its results differ between standard libraries and a
// seed must produce the same schedule on all of them.
double arrival_process::draw_exponential()
{
    constexpr double two_to_minus_53 = 0x1.0p-53;
    constexpr int unused_bits = 11;
    const double uniform = static_cast<double>(m_random() >> unused_bits) * two_to_minus_53;
    return -std::log1p(-uniform);
}

std::optional<run_offset> arrival_process::next()
{
    // Integral of the rate until the next arrival, in expected requests.
    double exposure = draw_exponential();
    while (m_current < m_segments.size()) {
        const auto& current = m_segments[m_current];
        const double left = (current.end_s - m_time_s) * current.rate.value();
        if (exposure < left) {
            m_time_s += exposure / current.rate.value();
            return std::chrono::floor<base::duration>(std::chrono::duration<double>(m_time_s));
        }
        exposure -= left;
        m_time_s = current.end_s;
        ++m_current;
    }
    return std::nullopt;
}

double arrival_process::expected_count() const
{
    double count = 0;
    double start_s = 0;
    for (const auto& part : m_segments) {
        count += (part.end_s - start_s) * part.rate.value();
        start_s = part.end_s;
    }
    return count;
}

} // namespace damaskladder::load
