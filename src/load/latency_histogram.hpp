#pragma once

#include "load/latency_quantiles.hpp"

#include <boost/histogram.hpp>

namespace damaskladder::load {

/// Histogram of latencies with logarithmic bins from 10 us to 100 s; its memory use is constant.
///
/// A quantile is the upper edge of its bin: within that range at most 1% above the exact value, and
/// never above the exact maximum.
class latency_histogram {
public:
    latency_histogram();

    void add(base::duration latency);
    /// Latency that at least the given fraction of all latencies does not exceed; 0 if there are
    /// none. The fraction is above 0 and at most 1.
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
