#include "admission/shed_meter.hpp"

#include <chrono>
#include <cmath>

namespace damaskladder::admission {
namespace {

constexpr base::duration half_life = std::chrono::milliseconds(100);
/// Fewer shed calls than this may be a single burst.
constexpr double min_shed_count = 2;
/// A level counts as shed only partially if the ratio of started to shed calls reaches this.
constexpr double max_started_ratio = 0.05;

} // namespace

void shed_meter::started(base::importance level, base::time_point now)
{
    auto& entry = m_levels.at(static_cast<std::size_t>(level));
    entry = decayed(entry, now);
    entry.started += 1;
}

void shed_meter::shed(base::importance level, base::time_point now)
{
    auto& entry = m_levels.at(static_cast<std::size_t>(level));
    entry = decayed(entry, now);
    entry.shed += 1;
}

std::optional<base::importance> shed_meter::level(base::time_point now) const
{
    for (int value = base::importance_levels - 1; value >= 0; --value) {
        const decayed_counts entry = decayed(m_levels.at(static_cast<std::size_t>(value)), now);
        if (entry.shed >= min_shed_count && entry.started < max_started_ratio * entry.shed) {
            return static_cast<base::importance>(value);
        }
    }
    return std::nullopt;
}

shed_meter::decayed_counts shed_meter::decayed(const decayed_counts& old, base::time_point now)
{
    const double half_lives =
        static_cast<double>((now - old.at).count()) / static_cast<double>(half_life.count());
    const double factor = std::exp2(-half_lives);
    return {old.started * factor, old.shed * factor, now};
}

} // namespace damaskladder::admission
