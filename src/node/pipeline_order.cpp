#include "node/pipeline_order.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::node {

pipeline_order::pipeline_order(rule_lookup rule_of) : m_rule_of(std::move(rule_of)) {}

bool pipeline_order::must_wait(run_rule rule, const std::vector<exchange_id>& ahead) const
{
    if (ahead.empty()) {
        return false;
    }
    return rule == run_rule::once || std::any_of(ahead.begin(), ahead.end(), [this](auto each) {
               return m_rule_of(each) == run_rule::once;
           });
}

std::vector<exchange_id> pipeline_order::startable(exchange_id first,
                                                   const std::vector<exchange_id>& behind) const
{
    std::vector<exchange_id> found{first};
    if (m_rule_of(first) == run_rule::once) {
        return found;
    }
    for (const auto each : behind) {
        const auto rule = m_rule_of(each);
        if (rule == run_rule::once) {
            break;
        }
        if (rule) {
            found.push_back(each);
        }
    }
    return found;
}

} // namespace damaskladder::node
