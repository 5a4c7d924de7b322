#include "consensus/test_cluster.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <ostream>
#include <string>

namespace damaskladder::consensus {
namespace {

using namespace std::chrono_literals;

/// Design target: a leader that fails or stalls is replaced within 2 s.
constexpr base::duration leader_target = 2s;

bool has_leader_other_than(const test_cluster& cluster, std::size_t former)
{
    return cluster.leader() && *cluster.leader() != former;
}

std::size_t wait_for_leader(test_cluster& cluster)
{
    EXPECT_TRUE(cluster.converges(10s)) << cluster.describe();
    return cluster.leader().value_or(0);
}

std::size_t next_replica(const test_cluster& cluster, std::size_t number)
{
    return (number + 1) % cluster.size();
}

void propose_many(test_cluster& cluster, int count)
{
    for (int i = 0; i < count; ++i) {
        cluster.propose(*cluster.leader());
        cluster.run(1ms);
    }
}

struct scenario {
    const char* name;
    std::size_t replicas;
    std::function<void(test_cluster&)> steps;
};

void PrintTo(const scenario& value, std::ostream* out)
{
    *out << value.name;
}

class cluster_scenarios : public testing::TestWithParam<scenario> {};

// Each case guards against lost, duplicated or reordered entries, or a cluster that stops, under
// the fault in its name.
TEST_P(cluster_scenarios, keep_one_committed_sequence)
{
    replica_options options;
    options.snapshot_after_entries = 150;
    options.retained_before_snapshot.max_entries = 10;
    options.snapshot_chunk = base::byte_count(32);
    // One entry per request, so that faults can occur between two entries.
    options.max_append = base::byte_count(1);
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        test_cluster cluster(GetParam().replicas, seed, options);
        GetParam().steps(cluster);
        ASSERT_EQ(cluster.violation(), "") << "seed " << seed;
        ASSERT_FALSE(testing::Test::HasFailure()) << "seed " << seed << "\n" << cluster.describe();
    }
}

void single_replica(test_cluster& cluster)
{
    cluster.tick(0);
    EXPECT_EQ(cluster.leader(), 0U);
    const std::uint64_t request = cluster.propose(0);
    cluster.read(0);
    EXPECT_EQ(cluster.accepted.count(request), 1U);
    EXPECT_EQ(cluster.reads_confirmed, 1U);
}

void lost_messages(test_cluster& cluster)
{
    wait_for_leader(cluster);
    cluster.loss_percent = 20;
    EXPECT_TRUE(cluster.converges(60s));
}

void doubled_messages(test_cluster& cluster)
{
    cluster.duplicate = true;
    wait_for_leader(cluster);
    propose_many(cluster, 20);
    EXPECT_TRUE(cluster.converges(10s));
}

void reversed_messages(test_cluster& cluster)
{
    cluster.reverse = true;
    wait_for_leader(cluster);
    propose_many(cluster, 20);
    EXPECT_TRUE(cluster.converges(10s));
}

void killed_leader(test_cluster& cluster)
{
    const std::size_t leader = wait_for_leader(cluster);
    cluster.crash(leader, unsynced_data::lost);
    EXPECT_TRUE(
        cluster.run_until([&] { return has_leader_other_than(cluster, leader); }, leader_target));
    EXPECT_TRUE(cluster.converges(leader_target));
}

void stalled_leader(test_cluster& cluster)
{
    const std::size_t leader = wait_for_leader(cluster);
    cluster.set_group(leader, 1);
    const std::uint64_t request = cluster.propose(leader);
    cluster.read(leader);
    EXPECT_TRUE(
        cluster.run_until([&] { return has_leader_other_than(cluster, leader); }, leader_target));
    EXPECT_NE(cluster.status(leader).role, replica_role::leader);
    EXPECT_EQ(cluster.refusals[request], refusal_reason::leadership_lost);
    EXPECT_EQ(cluster.reads_confirmed, 0U);
    cluster.heal();
    EXPECT_TRUE(cluster.converges(10s));
}

void isolated_follower(test_cluster& cluster)
{
    const std::size_t leader = wait_for_leader(cluster);
    const term_number term = cluster.status(leader).term;
    cluster.set_group(next_replica(cluster, leader), 1);
    cluster.run(10s);
    cluster.heal();
    cluster.run(2s);
    EXPECT_EQ(cluster.leader(), leader);
    EXPECT_EQ(cluster.status(leader).term, term);
}

void two_failures_in_a_row(test_cluster& cluster)
{
    const std::size_t first = wait_for_leader(cluster);
    cluster.crash(first, unsynced_data::lost);
    EXPECT_TRUE(cluster.converges(leader_target * 2));
    const std::size_t second = *cluster.leader();
    cluster.crash(second, unsynced_data::lost);
    EXPECT_TRUE(cluster.converges(leader_target * 2));
    cluster.start(first);
    cluster.start(second);
    EXPECT_TRUE(cluster.converges(10s));
}

void repair(test_cluster& cluster, std::size_t lost)
{
    cluster.wipe(lost);
    cluster.run_until([&] { return has_leader_other_than(cluster, lost); }, leader_target);
    const std::size_t leader = cluster.leader().value_or(lost);
    cluster.run(1s);
    EXPECT_TRUE(cluster.status(lost).awaiting_admission);
    cluster.change(leader, add_replica{cluster.status(lost).identity});
    const auto votes_again = [&] {
        return cluster.members().is_voter(cluster.status(lost).identity);
    };
    EXPECT_TRUE(cluster.run_until(votes_again, 10s)) << cluster.describe();
}

void second_lost_after_repair(test_cluster& cluster)
{
    const std::size_t leader = wait_for_leader(cluster);
    propose_many(cluster, 200);
    const std::size_t first = next_replica(cluster, leader);
    const std::size_t second = next_replica(cluster, first);
    repair(cluster, first);
    EXPECT_TRUE(cluster.converges(10s));
    cluster.crash(second, unsynced_data::lost);
    EXPECT_TRUE(cluster.converges(10s));
    repair(cluster, second);
    EXPECT_TRUE(cluster.converges(10s));
}

void wiped_may_not_vote(test_cluster& cluster)
{
    const std::size_t leader = wait_for_leader(cluster);
    const std::size_t behind = next_replica(cluster, leader);
    const std::size_t wiped = next_replica(cluster, behind);
    cluster.crash(behind, unsynced_data::lost);
    EXPECT_TRUE(cluster.converges(10s));
    const std::size_t committed = cluster.committed();
    // Only the leader and the folder that is about to be wiped hold the newest entries. With the
    // vote of the wiped replica, the lagging one could become leader without them.
    cluster.crash(leader, unsynced_data::lost);
    cluster.wipe(wiped);
    cluster.start(behind);
    cluster.run(20s);
    EXPECT_FALSE(cluster.leader());
    cluster.start(leader);
    EXPECT_TRUE(cluster.converges(10s));
    EXPECT_GT(cluster.committed(), committed);
}

void bootstrap_needs_all(test_cluster& cluster)
{
    cluster.crash(2, unsynced_data::lost);
    cluster.run(10s);
    EXPECT_FALSE(cluster.leader());
    cluster.start(2);
    wait_for_leader(cluster);
    EXPECT_EQ(cluster.members().voter_count(), 3U);
}

// Guards against a cluster that waits for good for the vote of a replica that rejoins.
void restarted_before_it_formed(test_cluster& cluster)
{
    cluster.set_rejoins(1);
    cluster.crash(1, unsynced_data::lost);
    cluster.start(1);
    wait_for_leader(cluster);
    EXPECT_TRUE(cluster.converges(10s));
    EXPECT_EQ(cluster.members().voter_count(), 3U);
}

void wiped_before_it_formed(test_cluster& cluster)
{
    cluster.set_rejoins(1);
    cluster.run(100ms);
    cluster.wipe(1);
    wait_for_leader(cluster);
    EXPECT_TRUE(cluster.converges(10s));
    EXPECT_TRUE(cluster.members().is_voter(cluster.status(1).identity));
}

// Guards against replicas that are all killed before the cluster has formed and then wait for a
// cluster that does not exist: only the settings of the first start said that they may form one.
void all_killed_before_it_formed(test_cluster& cluster)
{
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        cluster.set_rejoins(i);
    }
    for (int kills = 0; kills < 3; ++kills) {
        cluster.run(100ms);
        for (std::size_t i = 0; i < cluster.size(); ++i) {
            cluster.crash(i, unsynced_data::lost);
        }
        for (std::size_t i = 0; i < cluster.size(); ++i) {
            cluster.start(i);
        }
    }
    wait_for_leader(cluster);
    EXPECT_TRUE(cluster.converges(10s));
    EXPECT_EQ(cluster.members().voter_count(), cluster.size());
}

void all_killed_and_one_wiped_before_it_formed(test_cluster& cluster)
{
    cluster.run(100ms);
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        cluster.set_rejoins(i);
        cluster.crash(i, unsynced_data::lost);
    }
    for (std::size_t i = 1; i < cluster.size(); ++i) {
        cluster.start(i);
    }
    cluster.wipe(0);
    wait_for_leader(cluster);
    EXPECT_TRUE(cluster.converges(10s));
    EXPECT_EQ(cluster.members().voter_count(), cluster.size());
}

// Guards against a second cluster that a wiped replica helps to form while the only holder of the
// first one's entries is down.
void wiped_after_it_formed(test_cluster& cluster)
{
    cluster.on_elected = [&](std::size_t number) { cluster.set_group(number == 2 ? 0 : 2, 1); };
    ASSERT_TRUE(cluster.run_until([&] { return cluster.leader().has_value(); }, 10s));
    cluster.on_elected = nullptr;
    const std::size_t leader = *cluster.leader();
    const std::size_t unaware = leader == 2 ? 0 : 2;
    cluster.propose(leader);
    cluster.run(100ms);
    const std::size_t committed = cluster.committed();
    EXPECT_GT(committed, 0U);
    ASSERT_EQ(cluster.status(unaware).last_index, log_index());
    cluster.crash(leader, unsynced_data::lost);
    cluster.set_rejoins(1 == leader ? 0 : 1);
    cluster.wipe(1 == leader ? 0 : 1);
    cluster.heal();
    cluster.run(10s);
    EXPECT_FALSE(cluster.leader());
    cluster.start(leader);
    cluster.run(10s);
    EXPECT_GE(cluster.committed(), committed);
}

void restart_after_hundreds(test_cluster& cluster)
{
    wait_for_leader(cluster);
    propose_many(cluster, 400);
    EXPECT_TRUE(cluster.converges(10s));
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        cluster.crash(i, unsynced_data::lost);
    }
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        cluster.start(i);
        EXPECT_GE(cluster.status(i).snapshot_index, log_index(150));
    }
    EXPECT_TRUE(cluster.converges(leader_target * 2));
}

void far_behind(test_cluster& cluster)
{
    const std::size_t leader = wait_for_leader(cluster);
    const std::size_t behind = next_replica(cluster, leader);
    cluster.set_group(behind, 1);
    propose_many(cluster, 400);
    EXPECT_EQ(cluster.snapshots_installed, 0U);
    cluster.heal();
    cluster.loss_percent = 10;
    EXPECT_TRUE(cluster.converges(60s));
    EXPECT_GE(cluster.snapshots_installed, 1U);
}

void hand_over(test_cluster& cluster)
{
    const std::size_t leader = wait_for_leader(cluster);
    cluster.transfer(leader);
    EXPECT_EQ(cluster.refusals[cluster.propose(leader)], refusal_reason::transferring);
    // Shorter than an election timeout: the successor is asked to campaign rather than timing out.
    EXPECT_TRUE(cluster.run_until([&] { return has_leader_other_than(cluster, leader); }, 300ms));
    EXPECT_TRUE(cluster.converges(1s));
}

void removed_leader(test_cluster& cluster)
{
    const std::size_t leader = wait_for_leader(cluster);
    cluster.change(leader, remove_replica{test_cluster::id_of(leader)});
    EXPECT_TRUE(
        cluster.run_until([&] { return has_leader_other_than(cluster, leader); }, leader_target));
    EXPECT_EQ(cluster.members().voter_count(), 2U);
    EXPECT_EQ(cluster.status(leader).role, replica_role::follower);
    EXPECT_TRUE(cluster.converges(10s));
}

void full_disk_of_leader(test_cluster& cluster)
{
    const std::size_t leader = wait_for_leader(cluster);
    cluster.disk(leader).fail_at(cluster.disk(leader).operations() + 1, true);
    const std::uint64_t request = cluster.propose(leader);
    EXPECT_EQ(cluster.status(leader).role, replica_role::halted);
    EXPECT_EQ(cluster.refusals[request], refusal_reason::storage_failed);
    EXPECT_TRUE(
        cluster.run_until([&] { return has_leader_other_than(cluster, leader); }, leader_target));
    cluster.crash(leader, unsynced_data::half);
    cluster.start(leader);
    EXPECT_TRUE(cluster.converges(10s));
}

void disks_full_in_turn(test_cluster& cluster)
{
    wait_for_leader(cluster);
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        cluster.disk(i).fill_up_at(cluster.disk(i).operations() + 1);
        propose_many(cluster, 5);
        cluster.run(3s);
        EXPECT_TRUE(cluster.leader());
        cluster.disk(i).make_room();
        cluster.run(1s);
    }
    EXPECT_TRUE(cluster.converges(leader_target)) << cluster.describe();
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        EXPECT_NE(cluster.status(i).role, replica_role::halted);
    }
}

void full_disk_of_follower(test_cluster& cluster)
{
    const std::size_t leader = wait_for_leader(cluster);
    const std::size_t full = next_replica(cluster, leader);
    cluster.disk(full).fail_at(cluster.disk(full).operations() + 1, true);
    EXPECT_EQ(cluster.accepted.count(cluster.propose(leader)), 0U);
    cluster.run(1s);
    for (const envelope& each : cluster.messages()) {
        EXPECT_NE(each.from.id, test_cluster::id_of(full));
    }
    EXPECT_EQ(cluster.status(full).role, replica_role::halted);
    EXPECT_EQ(cluster.leader(), leader);
}

void unsynced_is_not_acknowledged(test_cluster& cluster)
{
    const std::size_t leader = wait_for_leader(cluster);
    cluster.delay_syncs = true;
    const std::uint64_t request = cluster.propose(leader);
    cluster.run(300ms);
    EXPECT_EQ(cluster.accepted.count(request), 0U);
    EXPECT_EQ(cluster.leader(), leader) << "a slow sync must not make the leader step down";
    cluster.flush(next_replica(cluster, leader));
    cluster.run(100ms);
    EXPECT_EQ(cluster.accepted.count(request), 0U)
        << "one synced replica of three is not a majority";
    cluster.flush(leader);
    cluster.run(100ms);
    EXPECT_EQ(cluster.accepted.count(request), 1U);
}

/// An entry of an older term reaches a majority through a later leader; afterwards a leader of a
/// term in between, which lacks the entry, is elected.
void entry_of_older_term(test_cluster& cluster)
{
    const std::size_t first = wait_for_leader(cluster);
    cluster.set_group(first, 1);
    cluster.propose(first);
    const log_index older = cluster.status(first).last_index;
    // The second leader appends its first entry but cannot replicate it.
    cluster.on_elected = [&](std::size_t number) { cluster.set_group(number, 2); };
    ASSERT_TRUE(
        cluster.run_until([&] { return has_leader_other_than(cluster, first); }, leader_target));
    const std::size_t second = *cluster.leader();
    cluster.crash(second, unsynced_data::lost);
    cluster.set_group(first, 0);
    cluster.on_elected = [&](std::size_t /*number*/) { cluster.pause = true; };
    ASSERT_TRUE(cluster.run_until([&] { return cluster.pause; }, leader_target * 3));
    ASSERT_EQ(cluster.leader(), first);
    const std::size_t third = 3 - first - second;
    while (cluster.messages_in_flight() > 0) {
        const auto* append = std::get_if<append_request>(&cluster.messages().front().body);
        const bool newer = append != nullptr && !append->entries.empty() &&
                           append->entries[0].index > older &&
                           cluster.status(third).last_index == older;
        newer ? cluster.drop(0) : cluster.deliver(0);
    }
    EXPECT_EQ(cluster.status(third).last_index, older);
    cluster.crash(first, unsynced_data::lost);
    cluster.pause = false;
    cluster.on_elected = nullptr;
    cluster.start(second);
    cluster.heal();
    EXPECT_TRUE(cluster.converges(10s));
    EXPECT_EQ(cluster.leader(), second);
    cluster.start(first);
    EXPECT_TRUE(cluster.converges(10s));
}

INSTANTIATE_TEST_SUITE_P(
    table, cluster_scenarios,
    testing::Values(scenario{"single_replica", 1, single_replica},
                    scenario{"lost_messages", 3, lost_messages},
                    scenario{"doubled_messages", 3, doubled_messages},
                    scenario{"reversed_messages", 3, reversed_messages},
                    scenario{"killed_leader", 3, killed_leader},
                    scenario{"killed_leader_of_nine", 9, killed_leader},
                    scenario{"stalled_leader", 3, stalled_leader},
                    scenario{"isolated_follower", 3, isolated_follower},
                    scenario{"two_failures_in_a_row", 5, two_failures_in_a_row},
                    scenario{"second_lost_after_repair", 3, second_lost_after_repair},
                    scenario{"wiped_may_not_vote", 3, wiped_may_not_vote},
                    scenario{"bootstrap_needs_all", 3, bootstrap_needs_all},
                    scenario{"restarted_before_it_formed", 3, restarted_before_it_formed},
                    scenario{"wiped_before_it_formed", 3, wiped_before_it_formed},
                    scenario{"all_killed_before_it_formed", 3, all_killed_before_it_formed},
                    scenario{"all_of_five_killed_before_it_formed", 5, all_killed_before_it_formed},
                    scenario{"all_killed_and_one_wiped_before_it_formed", 3,
                             all_killed_and_one_wiped_before_it_formed},
                    scenario{"wiped_after_it_formed", 3, wiped_after_it_formed},
                    scenario{"entry_of_older_term", 3, entry_of_older_term},
                    scenario{"restart_after_hundreds", 3, restart_after_hundreds},
                    scenario{"far_behind", 3, far_behind}, scenario{"hand_over", 3, hand_over},
                    scenario{"removed_leader", 3, removed_leader},
                    scenario{"disks_full_in_turn", 3, disks_full_in_turn},
                    scenario{"disks_of_five_full_in_turn", 5, disks_full_in_turn},
                    scenario{"full_disk_of_leader", 3, full_disk_of_leader},
                    scenario{"full_disk_of_follower", 3, full_disk_of_follower},
                    scenario{"unsynced_is_not_acknowledged", 3, unsynced_is_not_acknowledged}),
    [](const auto& each) { return std::string(each.param.name); });

// Guards against a leader whose disk stalls while the others commit without it, and that keeps in
// memory all that it has to write until it runs out.
TEST(cluster, leader_with_a_stalled_disk_gives_up_leadership)
{
    replica_options options;
    options.max_unsynced = base::byte_count(2'000);
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        test_cluster cluster(3, seed, options);
        const std::size_t leader = wait_for_leader(cluster);
        cluster.run(1s);
        cluster.delay_syncs = true;
        const auto flush_others = [&] {
            for (std::size_t i = 0; i < cluster.size(); ++i) {
                if (i != leader) {
                    cluster.flush(i);
                }
            }
        };
        const log_index before = cluster.status(leader).last_index;
        for (int i = 0; i < 200 && !has_leader_other_than(cluster, leader); ++i) {
            cluster.propose(leader);
            cluster.run(20ms);
            flush_others();
        }
        EXPECT_TRUE(has_leader_other_than(cluster, leader)) << cluster.describe();
        // 2,000 bytes of small commands, and some of them under way.
        constexpr std::uint64_t max_entries = 80;
        EXPECT_LE(entries_between(before, cluster.status(leader).last_index), max_entries);
        cluster.delay_syncs = false;
        cluster.flush(leader);
        flush_others();
        EXPECT_TRUE(cluster.converges(10s)) << cluster.describe();
        EXPECT_EQ(cluster.violation(), "");
    }
}

class crash_points : public testing::TestWithParam<unsynced_data> {};

// Guards against a data folder that cannot be opened, or has lost acknowledged data, after a crash
// between any two disk operations of bootstrap, elections, appends and snapshots.
TEST_P(crash_points, lose_nothing)
{
    replica_options options;
    options.snapshot_after_entries = 8;
    options.retained_before_snapshot.max_entries = 2;
    constexpr std::uint64_t points = 150;
    for (std::uint64_t point = 1; point <= points; ++point) {
        test_cluster cluster(3, point, options);
        cluster.disk(0).fail_at(cluster.disk(0).operations() + point, true);
        for (int i = 0; i < 400 && cluster.status(0).role != replica_role::halted; ++i) {
            cluster.run(100ms);
            cluster.propose(cluster.leader().value_or(0));
        }
        EXPECT_EQ(cluster.status(0).role, replica_role::halted);
        cluster.crash(0, GetParam());
        cluster.start(0);
        ASSERT_TRUE(cluster.converges(10s)) << "point " << point << "\n" << cluster.describe();
        ASSERT_EQ(cluster.violation(), "") << "point " << point;
    }
}

struct silence_case {
    const char* name;
    /// True: the leader is partitioned. False: no replica runs for the time, as if all VMs were
    /// paused.
    bool cut_off;
    bool leads_on;
};

void PrintTo(const silence_case& value, std::ostream* out)
{
    *out << value.name;
}

class silences : public testing::TestWithParam<silence_case> {};

// Guards against a leader that steps down because it was busy itself. After a restart with a long
// log each replica stalled for longer than the election timeout while it applied the log, so
// leadership changed every half second.
TEST_P(silences, end_leadership_only_if_others_are_silent)
{
    test_cluster cluster(3, 4);
    const auto leader = wait_for_leader(cluster);
    constexpr auto silence = 600ms;
    if (GetParam().cut_off) {
        cluster.set_group(leader, 1);
        cluster.run(silence);
    }
    else {
        cluster.pass_time(silence);
        cluster.tick(leader);
    }
    EXPECT_EQ(cluster.status(leader).role == replica_role::leader, GetParam().leads_on);
    cluster.heal();
    EXPECT_TRUE(cluster.converges(10s)) << cluster.describe();
    EXPECT_EQ(cluster.violation(), "");
}

INSTANTIATE_TEST_SUITE_P(table, silences,
                         testing::Values(silence_case{"own_stall", false, true},
                                         silence_case{"cut_off", true, false}),
                         [](const auto& tested) { return std::string(tested.param.name); });

INSTANTIATE_TEST_SUITE_P(table, crash_points,
                         testing::Values(unsynced_data::lost, unsynced_data::half,
                                         unsynced_data::zeroed, unsynced_data::kept));

} // namespace
} // namespace damaskladder::consensus
