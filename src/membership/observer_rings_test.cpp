#include "membership/observer_rings.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>

namespace damaskladder::membership {
namespace {

struct rings_case {
    std::size_t members;
    std::size_t observers;
    std::size_t most_hops;
};

class observer_rings_of : public testing::TestWithParam<rings_case> {};

std::size_t hops_from(const observer_rings& rings, const base::node_id& start, std::size_t members)
{
    std::set<base::node_id> reached{start};
    std::set<base::node_id> edge = reached;
    std::size_t hops = 0;
    while (reached.size() < members && !edge.empty()) {
        std::set<base::node_id> next;
        for (const base::node_id& node : edge) {
            for (const base::node_id& observer : rings.observers_of(node)) {
                if (reached.insert(observer).second) {
                    next.insert(observer);
                }
            }
        }
        edge = next;
        ++hops;
    }
    return reached.size() == members ? hops : members;
}

// Guards against nodes with too few observers, and against updates that do not reach all members.
TEST_P(observer_rings_of, reach_all_members)
{
    std::vector<base::node_id> members;
    for (std::size_t index = 0; index < GetParam().members; ++index) {
        members.emplace_back("node-" + std::to_string(index));
    }
    const observer_rings rings(members, 5);
    std::reverse(members.begin(), members.end());
    const observer_rings same(members, 5);
    for (const base::node_id& member : members) {
        const auto& observers = rings.observers_of(member);
        const std::set<base::node_id> distinct(observers.begin(), observers.end());
        ASSERT_EQ(distinct.size(), GetParam().observers);
        ASSERT_EQ(distinct.count(member), 0U);
        ASSERT_EQ(observers, same.observers_of(member));
        for (const base::node_id& observer : observers) {
            const auto& observed = rings.observed_by(observer);
            ASSERT_NE(std::find(observed.begin(), observed.end(), member), observed.end());
        }
        ASSERT_LE(hops_from(rings, member, members.size()), GetParam().most_hops);
    }
    EXPECT_TRUE(rings.observers_of(base::node_id("stranger")).empty());
}

INSTANTIATE_TEST_SUITE_P(table, observer_rings_of,
                         testing::Values(rings_case{1, 0, 0}, rings_case{2, 1, 1},
                                         rings_case{3, 2, 1}, rings_case{6, 5, 1},
                                         rings_case{40, 5, 4}, rings_case{373, 5, 6}));

} // namespace
} // namespace damaskladder::membership
