#include "load/latency_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace damaskladder::load {

namespace {

constexpr double lowest_us = 10;
constexpr double highest_us = 1e8;
// Seven decades in 1,750 bins: each bin is 0.93% wide.
constexpr unsigned bins = 1750;

} // namespace

latency_histogram::latency_histogram()
    : m_bins(boost::histogram::make_histogram(axis(bins, lowest_us, highest_us)))
{
}

void latency_histogram::add(base::duration latency)
{
    m_bins(static_cast<double>(latency.count()));
    m_count += request_count(1);
    m_max = std::max(m_max, latency);
}

base::duration latency_histogram::quantile(double fraction) const
{
    const double target_count = fraction * static_cast<double>(m_count.value());
    double counted = 0;
    for (int i = -1; i < static_cast<int>(bins); ++i) {
        counted += static_cast<double>(m_bins.at(i));
        if (counted > 0 && counted >= target_count) {
            const auto edge = std::ceil(m_bins.axis().bin(i).upper());
            return std::min(m_max, base::duration(static_cast<std::int64_t>(edge)));
        }
    }
    return m_max;
}

latency_quantiles latency_histogram::quantiles() const
{
    constexpr double median = 0.5;
    constexpr double p90 = 0.9;
    constexpr double p99 = 0.99;
    constexpr double p999 = 0.999;
    return {m_count, quantile(median), quantile(p90), quantile(p99), quantile(p999), m_max};
}

} // namespace damaskladder::load
