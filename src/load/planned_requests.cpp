#include "load/planned_requests.hpp"

#include "load/arrival_process.hpp"

#include <algorithm>
#include <iterator>

namespace damaskladder::load {

std::vector<surge_settings> surges_of_stream(const experiment& plan, const stream_name& stream)
{
    std::vector<surge_settings> found;
    std::copy_if(plan.surges.begin(), plan.surges.end(), std::back_inserter(found),
                 [&](const surge_settings& surge) { return surge.stream == stream; });
    return found;
}

double planned_attempts(const experiment& plan)
{
    double count = 0;
    for (const auto& stream : plan.streams) {
        const arrival_process arrivals(stream.rate, surges_of_stream(plan, stream.name),
                                       plan.duration, {});
        count += arrivals.expected_count() * (1.0 + stream.retries);
    }
    return count;
}

} // namespace damaskladder::load
