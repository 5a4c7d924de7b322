#include "admission/workspace_demand.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <vector>

namespace damaskladder::admission {
namespace {

constexpr std::size_t max_workspaces = 64;
/// A node has a few requests per second of a workspace, so a shorter time would compare noise.
constexpr base::duration memory = std::chrono::seconds(5);
constexpr base::duration decay_interval = std::chrono::milliseconds(250);
constexpr double forgotten = 0.02;
/// A workspace is served at least this fraction as often as the mean. A max-min share alone would
/// refuse nearly all requests of a workspace that sends many times as much as the others.
constexpr double min_service = 0.5;

const base::workspace_id rest;

} // namespace

void workspace_demand::arrived(const base::workspace_id& workspace, base::time_point now)
{
    decay(now);
    m_recent[bucket_of(workspace)] += 1;
}

double workspace_demand::shed_probability(const base::workspace_id& workspace,
                                          double fraction) const
{
    const auto own = m_recent.find(bucket_of(workspace));
    if (own == m_recent.end()) {
        return fraction;
    }
    std::vector<double> demands;
    double admitted = 0;
    for (const auto& item : m_recent) {
        demands.push_back(item.second);
        admitted += item.second * (1 - fraction);
    }
    std::sort(demands.begin(), demands.end());
    double share = 0;
    for (std::size_t served = 0; served < demands.size(); ++served) {
        share = admitted / static_cast<double>(demands.size() - served);
        if (demands[served] > share) {
            break;
        }
        admitted -= demands[served];
    }
    const double highest = 1 - min_service * (1 - fraction);
    return std::clamp(1 - share / own->second, 0.0, highest);
}

const base::workspace_id& workspace_demand::bucket_of(const base::workspace_id& workspace) const
{
    const bool known = m_recent.count(workspace) != 0 || m_recent.size() < max_workspaces;
    return known ? workspace : rest;
}

void workspace_demand::decay(base::time_point now)
{
    if (now - m_decayed_at < decay_interval) {
        return;
    }
    const double weight = std::exp(-static_cast<double>((now - m_decayed_at).count()) /
                                   static_cast<double>(memory.count()));
    m_decayed_at = now;
    for (auto item = m_recent.begin(); item != m_recent.end();) {
        item->second *= weight;
        item = item->second < forgotten ? m_recent.erase(item) : std::next(item);
    }
}

} // namespace damaskladder::admission
