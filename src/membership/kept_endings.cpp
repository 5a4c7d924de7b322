#include "membership/kept_endings.hpp"

#include <algorithm>

namespace damaskladder::membership {

void kept_endings::keep(const base::node_id& node, const std::vector<run_ending>& endings,
                        base::time_point now)
{
    std::erase_if(m_entries,
                  [&](const entry& held) { return now - held.kept_at >= m_limits.retention; });
    for (const run_ending& ending : endings) {
        run_ending kept = ending;
        const auto same_run =
            std::find_if(m_entries.begin(), m_entries.end(), [&](const entry& held) {
                return held.node == node && is_same_run(held.ending, ending);
            });
        if (same_run != m_entries.end()) {
            kept.withdrawn = kept.withdrawn || same_run->ending.withdrawn;
            kept.position = std::max(kept.position, same_run->ending.position);
            m_entries.erase(same_run);
        }
        const auto of_node = [&](const entry& held) { return held.node == node; };
        const auto count = std::count_if(m_entries.begin(), m_entries.end(), of_node);
        if (static_cast<std::size_t>(count) >= m_limits.per_node) {
            m_entries.erase(std::find_if(m_entries.begin(), m_entries.end(), of_node));
        }
        else if (m_entries.size() >= m_limits.total) {
            m_entries.erase(m_entries.begin());
        }
        m_entries.push_back({node, std::move(kept), now});
    }
}

std::vector<run_ending> kept_endings::of(const base::node_id& node, base::time_point now) const
{
    std::vector<run_ending> found;
    for (const entry& held : m_entries) {
        if (held.node == node && now - held.kept_at < m_limits.retention) {
            found.push_back(held.ending);
        }
    }
    return found;
}

} // namespace damaskladder::membership
