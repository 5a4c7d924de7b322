#include "routing/completion_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace damaskladder::routing {
namespace {

/// Many backend servers slow down for all calls when more than this part of their slots is used.
/// The load in a report is up to 300 ms old and varies by a tenth of the slots within this time, so
/// the slowdown is weighted by how likely the load passes the knee: with a step at the knee, the
/// part of the requests that leaves a failure domain varied four times as much.
constexpr double knee = 0.95;
constexpr double ramp_start = 0.7;
constexpr double added_at_knee = 0.3;

} // namespace

double completion_estimate::slowdown() const
{
    const double waiting = std::max(1.0, relative_load);
    const double ramp = std::clamp((relative_load - ramp_start) / (knee - ramp_start), 0.0, 1.0);
    return waiting * (1 + added_at_knee * ramp);
}

base::duration completion_estimate::completion() const
{
    return base::duration(std::llround(static_cast<double>(run_time.count()) * slowdown()));
}

double completion_estimate::throughput() const
{
    return capacity / static_cast<double>(std::max<base::duration::rep>(1, run_time.count()));
}

} // namespace damaskladder::routing
