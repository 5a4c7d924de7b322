#include "admission/shed_memory.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::admission {

shed_memory::shed_memory(shed_memory_options options, base::random_source random)
    : m_options(options), m_random(std::move(random))
{
}

void shed_memory::heard(const base::node_id& gatekeeper, std::optional<base::importance> level,
                        base::time_point now)
{
    if (!level) {
        return;
    }
    auto& entry = m_reports[gatekeeper];
    const bool faded = now >= entry.hold_until + entry.return_time;
    entry.level = faded ? *level : std::max(entry.level, *level);
    if (*level < entry.level && now < entry.hold_until) {
        return;
    }
    entry.level = *level;
    entry.hold_until = now + draw(m_options.shortest_hold, m_options.longest_hold);
    entry.return_time = draw(m_options.shortest_return, m_options.longest_return);
}

bool shed_memory::holds_back(const base::node_id& gatekeeper, base::importance level,
                             base::time_point now)
{
    auto found = m_reports.find(gatekeeper);
    if (found == m_reports.end() || level > found->second.level) {
        return false;
    }
    const report& entry = found->second;
    if (now < entry.hold_until) {
        return !draw_below(m_options.trickle);
    }
    const double returned = static_cast<double>((now - entry.hold_until).count()) /
                            static_cast<double>(entry.return_time.count());
    return !draw_below(std::max(returned, m_options.trickle));
}

void shed_memory::forget_old(base::time_point now)
{
    std::erase_if(m_reports, [&](const auto& item) {
        return now >= item.second.hold_until + item.second.return_time;
    });
}

base::duration shed_memory::draw(base::duration from, base::duration to)
{
    const auto span = static_cast<std::uint64_t>(std::max<std::int64_t>(1, (to - from).count()));
    return from + base::duration(static_cast<std::int64_t>(m_random() % span));
}

bool shed_memory::draw_below(double part)
{
    constexpr double range = 18446744073709551616.0;
    return static_cast<double>(m_random()) < part * range;
}

} // namespace damaskladder::admission
