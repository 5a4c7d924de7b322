#include "daemon/control_fleet_fixture.hpp"
#include "daemon/scratch_folder.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <thread>

namespace damaskladder::daemon {
namespace {

struct leave_case {
    std::string name;
    bool leads;
    /// Time before the request in which no VM runs.
    base::duration pause = {};
};

class leaving_replicas : public testing::TestWithParam<leave_case> {};

// Guards against a leader that leaves and stays a member: its request reached followers that
// forwarded it to the leader that they still knew, the leaving replica itself; or it had no live
// follower to transfer its leadership to when it began to leave, and did not try again.
TEST_P(leaving_replicas, are_removed)
{
    const scratch_folder folder;
    control_fleet fleet(folder.path());
    for (const control_fleet::vm_number replica : {1U, 2U, 3U, 4U}) {
        fleet.start(replica, {.forms_cluster = true});
    }
    ASSERT_TRUE(fleet.run_until([&] { return fleet.has_voters(4); }));
    const auto other = fleet.leader() == 2 ? 3U : 2U;
    std::this_thread::sleep_for(GetParam().pause);
    EXPECT_TRUE(fleet.retire(GetParam().leads ? fleet.leader() : other));
    EXPECT_TRUE(fleet.run_until([&] { return fleet.has_voters(3); }));
}

INSTANTIATE_TEST_SUITE_P(table, leaving_replicas,
                         testing::Values(leave_case{"leader", true}, leave_case{"follower", false},
                                         leave_case{"leader_after_a_pause", true,
                                                    std::chrono::milliseconds(600)}),
                         [](const auto& tested) { return tested.param.name; });

// Guards against replicas that are all restarted before the cluster has formed and ask to be
// admitted to a cluster that does not exist.
TEST(restarted_replicas, form_the_cluster_of_their_first_start)
{
    const scratch_folder folder;
    control_fleet fleet(folder.path());
    for (const control_fleet::vm_number replica : {1U, 2U, 3U}) {
        fleet.start(replica, {.forms_cluster = true});
    }
    for (const control_fleet::vm_number replica : {1U, 2U, 3U}) {
        fleet.kill(replica);
        fleet.start(replica, {});
    }
    EXPECT_TRUE(fleet.run_until([&] { return fleet.has_voters(3); }));
}

struct return_case {
    std::string name;
    bool disk_is_empty;
};

class returning_replicas : public testing::TestWithParam<return_case> {};

// Guards against a replica that stays outside after it was removed for its silence: its own log
// still names it as a member, so it did not ask to be admitted, and the leader did not contact it.
TEST_P(returning_replicas, are_admitted_again)
{
    const scratch_folder folder;
    control_fleet fleet(folder.path());
    for (const control_fleet::vm_number replica : {1U, 2U, 3U, 4U}) {
        fleet.start(replica, {.forms_cluster = true});
    }
    ASSERT_TRUE(fleet.run_until([&] { return fleet.has_voters(4); }));
    fleet.kill(4);
    ASSERT_TRUE(fleet.run_until([&] { return fleet.has_voters(3); }));
    if (GetParam().disk_is_empty) {
        std::filesystem::remove_all(folder.path() + "/" + control_fleet::address_of(4));
    }
    fleet.start(4, {});
    EXPECT_TRUE(fleet.run_until([&] { return fleet.has_voters(4); }));
}

INSTANTIATE_TEST_SUITE_P(table, returning_replicas,
                         testing::Values(return_case{"own_disk", false},
                                         return_case{"empty_disk", true}),
                         [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::daemon
