#include "consensus/self_managed_cluster.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <ostream>
#include <string>
#include <tuple>
#include <vector>

namespace damaskladder::consensus {
namespace {

using namespace std::chrono_literals;

/// Design target: a lost, wiped or replaced control VM is out of the configuration and its
/// successor a voter within this time.
constexpr base::duration turnover_target = 10s;
struct turnover {
    const char* name;
    /// Losses that the cluster has to bear at once; fewer replicas than 2 x losses + 1 are left
    /// out.
    std::size_t losses;
    std::function<void(self_managed_cluster&)> steps;
    /// Sets the limits of a cluster of this size.
    std::function<void(replica_options&, std::size_t size)> limit = [](replica_options&,
                                                                       std::size_t) {};
};

void PrintTo(const turnover& value, std::ostream* out)
{
    *out << value.name;
}

class cluster_turnover : public testing::TestWithParam<std::tuple<turnover, std::size_t>> {};

// Guards against a dead replica that counts towards the quorum for good and a successor that is
// never admitted: the leader repeated the first join request that it refused, and reached no other
// join and no removal.
TEST_P(cluster_turnover, admits_every_live_replica_and_removes_every_dead_one)
{
    const auto& [change, size] = GetParam();
    membership_policy_options options;
    options.min_remaining_voters = 2 * change.losses + 1;
    replica_options limits;
    change.limit(limits, size);
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        self_managed_cluster fleet(size, seed, options, limits);
        ASSERT_TRUE(fleet.settles(turnover_target)) << "at the start, seed " << seed << "\n"
                                                    << fleet.cluster().describe();
        change.steps(fleet);
        EXPECT_TRUE(fleet.settles(turnover_target)) << "seed " << seed << "\n"
                                                    << fleet.cluster().describe();
        ASSERT_TRUE(fleet.cluster().converges(turnover_target)) << "seed " << seed;
        ASSERT_EQ(fleet.cluster().violation(), "") << "seed " << seed;
    }
}

void expect_settled(self_managed_cluster& fleet)
{
    EXPECT_TRUE(fleet.settles(turnover_target)) << fleet.cluster().describe();
}

std::size_t leader_of(self_managed_cluster& fleet)
{
    return fleet.cluster().leader().value_or(0);
}

const turnover turnovers[] = {
    {"one_replaced", 1, [](auto& fleet) { fleet.replace(0); }},
    {"leader_replaced", 1, [](auto& fleet) { fleet.replace(leader_of(fleet)); }},
    {"three_replaced_in_turn", 1,
     [](auto& fleet) {
         fleet.replace(0);
         expect_settled(fleet);
         fleet.replace(1);
         expect_settled(fleet);
         fleet.replace(2);
     }},
    {"one_wiped", 1, [](auto& fleet) { fleet.cluster().wipe(1); }},
    {"wiped_again_right_after_its_repair", 1,
     [](auto& fleet) {
         fleet.cluster().wipe(1);
         expect_settled(fleet);
         fleet.cluster().wipe(2);
     }},
    {"one_replaced_beside_a_join_that_is_refused", 1,
     [](auto& fleet) {
         // Sorts before every replica and has no nonce.
         fleet.keep_asking({replica_id("A"), unknown_nonce});
         fleet.replace(0);
     }},
    {"one_replaced_in_a_full_cluster", 1, [](auto& fleet) { fleet.replace(1); },
     [](auto& limits, std::size_t size) {
         // Three voters must remain beside the dead one, or it keeps the successor's place.
         limits.max_members = std::max<std::size_t>(size, 4);
     }},
    {"a_voter_replaced_beside_standbys", 1, [](auto& fleet) { fleet.replace(1); },
     [](auto& limits, std::size_t) { limits.max_voters = 3; }},
    {"two_wiped_at_once", 2,
     [](auto& fleet) {
         fleet.cluster().wipe(1);
         fleet.cluster().wipe(2);
     }},
    {"two_replaced_at_once", 2,
     [](auto& fleet) {
         fleet.replace(0);
         fleet.replace(leader_of(fleet));
     }},
    {"one_wiped_beside_one_replaced", 2,
     [](auto& fleet) {
         fleet.replace(2);
         fleet.cluster().wipe(1);
     }},
};

std::vector<std::tuple<turnover, std::size_t>> turnover_cases()
{
    std::vector<std::tuple<turnover, std::size_t>> cases;
    for (const auto& each : turnovers) {
        for (const std::size_t size : {3, 4, 5, 9, 10, 15}) {
            if (size > 2 * each.losses) {
                cases.emplace_back(each, size);
            }
        }
    }
    return cases;
}

INSTANTIATE_TEST_SUITE_P(table, cluster_turnover, testing::ValuesIn(turnover_cases()),
                         [](const auto& test) {
                             return std::string(std::get<turnover>(test.param).name) + "_of_" +
                                    std::to_string(std::get<std::size_t>(test.param));
                         });

} // namespace
} // namespace damaskladder::consensus
