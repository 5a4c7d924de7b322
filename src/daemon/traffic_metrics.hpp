#pragma once

#include "base/time.hpp"
#include "daemon/waiting_requests.hpp"
#include "node/outcome.hpp"
#include "node/refusal_reason.hpp"

#include <boost/histogram.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace damaskladder::daemon {

/// Counters and latencies of the traffic thread. Not thread-safe.
class traffic_metrics {
public:
    traffic_metrics();

    /// Records the end of an inbound request and its duration.
    void request_ended(base::duration elapsed);
    void refused(node::refusal_reason reason, node::outcome reported_outcome);
    void call_forwarded() { ++m_forwarded; }
    void run_started() { ++m_runs; }

    /// Returns the metrics in the Prometheus text exposition format.
    std::string text(const waiting_requests& waiting) const;

private:
    using time_axis =
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    boost::histogram::histogram<std::tuple<time_axis>> m_times;
    double m_time_sum_s = 0;
    std::uint64_t m_ended = 0;
    std::uint64_t m_forwarded = 0;
    std::uint64_t m_runs = 0;
    std::map<node::refusal_reason, std::uint64_t> m_refused_not_run;
    std::map<node::refusal_reason, std::uint64_t> m_refused_unknown;
};

} // namespace damaskladder::daemon
