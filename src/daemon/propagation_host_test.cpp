#include "daemon/control_fleet_fixture.hpp"
#include "daemon/scratch_folder.hpp"

#include <gtest/gtest.h>

namespace damaskladder::daemon {
namespace {

using vm_number = control_fleet::vm_number;
using vm_plan = control_fleet::vm_plan;

/// Starts replicas 1 to 4 and nodes 5 and 6. All are told of 1, 2 and 3.
void start_four_replicas(control_fleet& fleet, const std::function<vm_plan(vm_number)>& plan_of)
{
    for (const vm_number replica : {1U, 2U, 3U, 4U}) {
        fleet.start(replica, plan_of(replica));
    }
    for (const vm_number node : {5U, 6U}) {
        fleet.start(node, {.has_replica = false});
    }
}

void form_cluster(const std::string& folder)
{
    control_fleet fleet(folder);
    start_four_replicas(fleet, [](vm_number) { return vm_plan{.forms_cluster = true}; });
    ASSERT_TRUE(fleet.run_until([&] { return fleet.has_voters(4); }));
    ASSERT_TRUE(fleet.change_settings(1));
}

struct restart_case {
    std::string name;
    vm_number leader;
    /// Replica whose disk is empty at the restart; none if 0.
    vm_number wiped = 0;
};

class restarts_of_all : public testing::TestWithParam<restart_case> {};

// Guards against an outage that lasts as long as the leader is a replica whose address the
// processes were not told: nobody polled it, so no VM had settings, not even the leader's own.
TEST_P(restarts_of_all, settings_are_confirmed_whichever_replica_leads)
{
    const scratch_folder folder;
    form_cluster(folder.path());
    if (GetParam().wiped != 0) {
        std::filesystem::remove_all(folder.path() + "/" +
                                    control_fleet::address_of(GetParam().wiped));
    }
    control_fleet fleet(folder.path());
    start_four_replicas(fleet, [](vm_number number) {
        return vm_plan{.may_campaign = number == GetParam().leader};
    });
    ASSERT_TRUE(fleet.run_until([&] { return fleet.leader() != 0; }));
    EXPECT_EQ(fleet.leader(), GetParam().leader);
    const auto led_since = http::event_loop::now();
    EXPECT_TRUE(fleet.run_until([&] { return fleet.unconfirmed_since(led_since).empty(); }))
        << "VMs without confirmed settings: "
        << testing::PrintToString(fleet.unconfirmed_since(led_since));
}

INSTANTIATE_TEST_SUITE_P(table, restarts_of_all,
                         testing::Values(restart_case{"listed_leader", 1},
                                         restart_case{"listed_leader_one_disk_empty", 1, 2},
                                         restart_case{"unlisted_leader", 4},
                                         restart_case{"unlisted_leader_one_disk_empty", 4, 2}),
                         [](const auto& tested) { return tested.param.name; });

struct replacement_case {
    std::string name;
    /// Replicas that are started one after the other, and those that leave after them.
    std::vector<vm_number> started;
    std::vector<vm_number> retired;
    vm_plan plan = {};
};

class replacements : public testing::TestWithParam<replacement_case> {};

// Guards against a node that goes on asking the control VMs that it was told at its start, although
// each of them has been replaced since: its settings aged, and its claims got no answer.
TEST_P(replacements, are_found_by_a_running_node)
{
    const vm_number node = 9;
    const scratch_folder folder;
    control_fleet fleet(folder.path());
    for (const vm_number replica : {1U, 2U, 3U}) {
        fleet.start(replica, {.forms_cluster = true});
    }
    fleet.start(node, {.has_replica = false});
    ASSERT_TRUE(fleet.run_until([&] { return fleet.has_voters(3); }));
    ASSERT_TRUE(fleet.change_settings(1));
    for (const vm_number replica : GetParam().started) {
        fleet.start(replica, GetParam().plan);
    }
    const std::size_t all = 3 + GetParam().started.size();
    ASSERT_TRUE(fleet.run_until([&] { return fleet.has_voters(all); }));
    for (const vm_number replica : GetParam().retired) {
        ASSERT_TRUE(fleet.retire(replica)) << replica;
    }
    ASSERT_TRUE(fleet.run_until([&] { return fleet.has_voters(all - GetParam().retired.size()); }));
    const auto replaced_at = http::event_loop::now();
    EXPECT_TRUE(fleet.run_until([&] { return fleet.unconfirmed_since(replaced_at).empty(); }))
        << "VMs without confirmed settings: "
        << testing::PrintToString(fleet.unconfirmed_since(replaced_at));
    EXPECT_TRUE(fleet.claim(node, "order-1"));
}

INSTANTIATE_TEST_SUITE_P(table, replacements,
                         testing::Values(replacement_case{"one_of_three", {4}, {1}},
                                         replacement_case{"one_added", {4}, {}},
                                         replacement_case{"all_three", {4, 5, 6}, {1, 2, 3}}),
                         [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::daemon
