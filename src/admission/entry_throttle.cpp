#include "admission/entry_throttle.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::admission {

entry_throttle::entry_throttle(entry_throttle_options options, base::random_source random)
    : m_options(options), m_random(std::move(random))
{
}

void entry_throttle::on_report(const base::node_id& gatekeeper,
                               std::optional<base::importance> level, base::time_point now)
{
    if (!level) {
        return;
    }
    auto& entry = m_throttles[gatekeeper];
    const bool expired = now >= entry.hold_until + entry.ramp_time;
    entry.level = expired ? *level : std::max(entry.level, *level);
    if (*level < entry.level && now < entry.hold_until) {
        return;
    }
    entry.level = *level;
    entry.hold_until = now + random_between(m_options.min_hold, m_options.max_hold);
    entry.ramp_time = random_between(m_options.min_ramp, m_options.max_ramp);
}

bool entry_throttle::should_refuse(const base::node_id& gatekeeper, base::importance level,
                                   base::time_point now)
{
    auto found = m_throttles.find(gatekeeper);
    if (found == m_throttles.end() || level > found->second.level) {
        return false;
    }
    const throttle_state& entry = found->second;
    if (now < entry.hold_until) {
        return !bernoulli(m_options.probe_fraction);
    }
    const double ramp_progress = static_cast<double>((now - entry.hold_until).count()) /
                                 static_cast<double>(entry.ramp_time.count());
    return !bernoulli(std::max(ramp_progress, m_options.probe_fraction));
}

void entry_throttle::remove_expired(base::time_point now)
{
    std::erase_if(m_throttles, [&](const auto& item) {
        return now >= item.second.hold_until + item.second.ramp_time;
    });
}

base::duration entry_throttle::random_between(base::duration from, base::duration to)
{
    const auto span = static_cast<std::uint64_t>(std::max<std::int64_t>(1, (to - from).count()));
    return from + base::duration(static_cast<std::int64_t>(m_random() % span));
}

bool entry_throttle::bernoulli(double probability)
{
    constexpr double range = 18446744073709551616.0;
    return static_cast<double>(m_random()) < probability * range;
}

} // namespace damaskladder::admission
