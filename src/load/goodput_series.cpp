#include "load/goodput_series.hpp"

#include <algorithm>

namespace damaskladder::load {

goodput_series::goodput_series(base::duration duration)
    : m_seconds(std::max<std::size_t>(
          1, static_cast<std::size_t>(std::chrono::ceil<std::chrono::seconds>(duration).count())))
{
}

void goodput_series::add_demand(run_offset due)
{
    at(due).demand += request_count(1);
}

void goodput_series::add_good(run_offset due)
{
    at(due).good += request_count(1);
}

goodput_counts goodput_series::total() const
{
    goodput_counts sum;
    for (const auto& second : m_seconds) {
        sum.demand += second.demand;
        sum.good += second.good;
    }
    return sum;
}

goodput_counts& goodput_series::at(run_offset due)
{
    const auto second = std::chrono::floor<std::chrono::seconds>(due).count();
    const auto last = static_cast<std::int64_t>(m_seconds.size()) - 1;
    return m_seconds[static_cast<std::size_t>(std::clamp<std::int64_t>(second, 0, last))];
}

} // namespace damaskladder::load
