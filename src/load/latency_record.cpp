#include "load/latency_record.hpp"

#include <algorithm>
#include <cmath>

namespace damaskladder::load {

namespace {

constexpr double lowest_us = 10;
constexpr double highest_us = 1e8;
// Seven decades in 1,750 bins: 0.93% from edge to edge.
constexpr unsigned bins = 1750;

} // namespace

latency_record::latency_record()
    : m_bins(boost::histogram::make_histogram(axis(bins, lowest_us, highest_us)))
{
}

void latency_record::add(base::duration latency)
{
    m_bins(static_cast<double>(latency.count()));
    m_count += request_count(1);
    m_max = std::max(m_max, latency);
}

base::duration latency_record::quantile(double part) const
{
    const double wanted = part * static_cast<double>(m_count.value());
    double seen = 0;
    for (int i = -1; i < static_cast<int>(bins); ++i) {
        seen += static_cast<double>(m_bins.at(i));
        if (seen > 0 && seen >= wanted) {
            const auto edge = std::ceil(m_bins.axis().bin(i).upper());
            return std::min(m_max, base::duration(static_cast<std::int64_t>(edge)));
        }
    }
    return m_max;
}

latency_quantiles latency_record::quantiles() const
{
    constexpr double median = 0.5;
    constexpr double nine_tenths = 0.9;
    constexpr double two_nines = 0.99;
    constexpr double three_nines = 0.999;
    return {m_count,
            quantile(median),
            quantile(nine_tenths),
            quantile(two_nines),
            quantile(three_nines),
            m_max};
}

} // namespace damaskladder::load
