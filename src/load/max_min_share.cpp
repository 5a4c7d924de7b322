#include "load/max_min_share.hpp"

#include <algorithm>

namespace damaskladder::load {

namespace {

double demand_of(const workspace_report& entry)
{
    return static_cast<double>(entry.total.demand.value());
}

} // namespace

void compute_max_min_shares(std::vector<workspace_report>& workspaces)
{
    double left = 0;
    double weights = 0;
    std::vector<workspace_report*> by_demand;
    for (auto& entry : workspaces) {
        left += static_cast<double>(entry.total.good.value());
        weights += entry.weight.value();
        by_demand.push_back(&entry);
    }
    std::sort(by_demand.begin(), by_demand.end(),
              [](const workspace_report* a, const workspace_report* b) {
                  return demand_of(*a) * b->weight.value() < demand_of(*b) * a->weight.value();
              });
    for (auto* entry : by_demand) {
        entry->share = std::min(demand_of(*entry), left * entry->weight.value() / weights);
        left -= entry->share;
        weights -= entry->weight.value();
    }
}

} // namespace damaskladder::load
