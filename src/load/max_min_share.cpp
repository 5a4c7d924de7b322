#include "load/max_min_share.hpp"

#include <algorithm>

namespace damaskladder::load {

namespace {

double demand_of(const workspace_service& one)
{
    return static_cast<double>(one.total.demand.value());
}

} // namespace

void fill_max_min_shares(std::vector<workspace_service>& workspaces)
{
    double left = 0;
    double weights = 0;
    std::vector<workspace_service*> by_demand;
    for (auto& one : workspaces) {
        left += static_cast<double>(one.total.good.value());
        weights += one.weight.value();
        by_demand.push_back(&one);
    }
    std::sort(by_demand.begin(), by_demand.end(),
              [](const workspace_service* a, const workspace_service* b) {
                  return demand_of(*a) * b->weight.value() < demand_of(*b) * a->weight.value();
              });
    for (auto* one : by_demand) {
        one->share = std::min(demand_of(*one), left * one->weight.value() / weights);
        left -= one->share;
        weights -= one->weight.value();
    }
}

} // namespace damaskladder::load
