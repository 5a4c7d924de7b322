#pragma once

#include "load/latency_quantiles.hpp"

#include <boost/histogram.hpp>

namespace damaskladder::load {

/// Latencies in logarithmic bins from 10 us to 100 s, in memory that does not grow with the run.
///
/// A quantile is the upper edge of its bin, at most 1% above the exact value within that range,
/// and never above the exact maximum.
class latency_histogram {
public:
    latency_histogram();

    void add(base::duration latency);
    /// At least the given part of the latencies, above 0 and at most 1, is not longer; 0 if there
    /// are none.
    base::duration quantile(double fraction) const;
    latency_quantiles quantiles() const;

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using histogram = boost::histogram::histogram<std::tuple<axis>>;

    histogram m_bins;
    request_count m_count;
    base::duration m_max{0};
};

} // namespace damaskladder::load
