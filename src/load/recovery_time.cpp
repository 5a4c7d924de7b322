#include "load/recovery_time.hpp"

#include <algorithm>

namespace damaskladder::load {

namespace {

bool is_recovered(const goodput_counts& second)
{
    constexpr std::uint64_t share_percent = 95;
    constexpr std::uint64_t whole_percent = 100;
    return second.good.value() * whole_percent >= second.demand.value() * share_percent;
}

std::vector<run_offset> cause_starts(const experiment& plan)
{
    std::vector<run_offset> starts;
    for (const auto& surge : plan.surges) {
        starts.push_back(surge.start);
    }
    for (const auto& command : plan.commands) {
        if (!command.ends_cause) {
            starts.push_back(command.at);
        }
    }
    return starts;
}

} // namespace

std::optional<base::duration> recovery_time(const std::vector<goodput_counts>& seconds,
                                            run_offset cause_end, run_offset until)
{
    const auto begin = std::chrono::ceil<std::chrono::seconds>(cause_end).count();
    const auto end = std::min<std::int64_t>(std::chrono::floor<std::chrono::seconds>(until).count(),
                                            static_cast<std::int64_t>(seconds.size()));
    auto first = end;
    while (first > begin && is_recovered(seconds[static_cast<std::size_t>(first - 1)])) {
        --first;
    }
    if (first >= end) {
        return std::nullopt;
    }
    return std::chrono::seconds(first) - cause_end;
}

std::vector<recovery> recoveries(const experiment& plan, const std::vector<goodput_counts>& seconds)
{
    std::vector<recovery> found;
    for (const auto& surge : plan.surges) {
        found.push_back({surge.name, surge.start + surge.length, {}, {}});
    }
    for (const auto& command : plan.commands) {
        if (command.ends_cause) {
            found.push_back({command.name, command.at, {}, {}});
        }
    }
    const auto starts = cause_starts(plan);
    for (auto& entry : found) {
        entry.observed_until = plan.duration;
        for (const auto start : starts) {
            if (start >= entry.cause_end) {
                entry.observed_until = std::min(entry.observed_until, start);
            }
        }
        entry.time = recovery_time(seconds, entry.cause_end, entry.observed_until);
    }
    std::stable_sort(found.begin(), found.end(), [](const recovery& a, const recovery& b) {
        return a.cause_end < b.cause_end;
    });
    return found;
}

} // namespace damaskladder::load
