#include "membership/fake_fleet_test.hpp"

#include <gtest/gtest.h>

#include <set>

namespace damaskladder::membership {
namespace {

struct restart_case {
    std::string name;
    std::size_t nodes;
    /// Time from the confirmation to the kill, and from the kill to the restart.
    base::duration killed_after;
    base::duration down;
    std::uint64_t incarnation;
    /// Time after the restart for which all messages to the node are lost, as they are while the
    /// other processes wait to connect again after failed attempts.
    base::duration unreachable = 0s;
};

class restarted_nodes : public testing::TestWithParam<restart_case> {};

// Guards against a node that restarts right after it has confirmed the end of a backend server's
// run and then takes a late message for the server's newest.
TEST_P(restarted_nodes, get_back_the_endings_that_they_confirmed)
{
    const run_ending ending{base::instance_id("i1"), {10, 5}, true};
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        fake_fleet fleet(seed);
        start_domain(fleet, GetParam().nodes);
        fleet.run(5s);
        const auto name = node_name(GetParam().nodes - 1);
        fleet.announce(name, "advice");
        fleet.perform(name, fleet.at(name).set_backends({}, fleet.now, {ending}));
        fleet.run(GetParam().killed_after);
        fleet.kill(name);
        fleet.run(GetParam().down);
        fleet.recovered_endings.clear();
        fleet.net.cut = [&](const auto&, const auto& to) { return to == name; };
        fleet.start(name, "d1", GetParam().incarnation);
        fleet.run(GetParam().unreachable);
        fleet.net.cut = nullptr;
        fleet.run(1s);
        ASSERT_FALSE(fleet.recovered_endings[name].empty()) << "seed " << seed;
        EXPECT_EQ(fleet.recovered_endings[name].front(), ending);
        // Published again, the endings must not be reported over and over.
        fleet.perform(name, fleet.at(name).set_backends({}, fleet.now, {ending}));
        fleet.run(1s);
        fleet.recovered_endings.clear();
        fleet.run(5s);
        EXPECT_TRUE(fleet.recovered_endings[name].empty()) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(
    table, restarted_nodes,
    testing::Values(
        restart_case{"at_once", 40, 5ms, 0s, 101}, restart_case{"two_nodes", 2, 5ms, 500ms, 101},
        restart_case{"within_the_same_second", 40, 5ms, 100ms, 100},
        restart_case{"with_clock_set_back", 40, 5ms, 500ms, 50},
        restart_case{"after_its_death_is_known", 40, 5ms, 10s, 111},
        restart_case{"after_its_death_is_known_with_clock_set_back", 40, 5ms, 10s, 50},
        restart_case{"first_answers_lost", 6, 300ms, 500ms, 101, 300ms},
        restart_case{"first_answers_lost_in_a_large_group", 40, 300ms, 500ms, 101, 300ms},
        restart_case{"first_answers_lost_with_clock_set_back", 6, 300ms, 500ms, 50, 300ms},
        restart_case{"cut_off_until_it_is_taken_for_dead", 6, 300ms, 500ms, 101, 20s}),
    [](const auto& test) { return test.param.name; });

struct confirmation_case {
    std::string name;
    std::size_t nodes;
    double loss_rate;
};

class confirmed_endings : public testing::TestWithParam<confirmation_case> {};

// Guards against a confirmation that nobody else holds when its node is killed, and against a
// restarted node that offers a backend server before it knows what it has confirmed.
TEST_P(confirmed_endings, are_known_to_the_next_process_before_it_offers_servers)
{
    const run_ending ending{base::instance_id("i1"), {10, 5}, true};
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fake_fleet fleet(seed);
        start_domain(fleet, GetParam().nodes);
        fleet.run(5s);
        fleet.net.loss_rate = GetParam().loss_rate;
        const auto name = node_name(GetParam().nodes - 1);
        fleet.perform(name, fleet.at(name).set_backends({}, fleet.now, {ending}));
        const auto published = fleet.at(name).published_endings();
        ASSERT_LT(fleet.at(name).confirmed_endings(), published) << "seed " << seed;
        const auto confirmed = [&] { return fleet.at(name).confirmed_endings() == published; };
        ASSERT_LT(fleet.run_until(confirmed, 800ms), 800ms) << "seed " << seed;
        fleet.kill(name);
        fleet.recovered_endings.clear();
        fleet.start(name, "d1", 101);
        EXPECT_FALSE(fleet.at(name).knows_earlier_endings()) << "seed " << seed;
        const auto knows = [&] { return fleet.at(name).knows_earlier_endings(); };
        ASSERT_LT(fleet.run_until(knows, 2s), 2s) << "seed " << seed;
        ASSERT_FALSE(fleet.recovered_endings[name].empty()) << "seed " << seed;
        EXPECT_EQ(fleet.recovered_endings[name].front(), ending);
    }
}

INSTANTIATE_TEST_SUITE_P(table, confirmed_endings,
                         testing::Values(confirmation_case{"two_nodes", 2, 0},
                                         confirmation_case{"two_nodes_with_loss", 2, 0.2},
                                         confirmation_case{"all_observe_each_other", 6, 0},
                                         confirmation_case{"all_observe_each_other_with_loss", 6,
                                                           0.2},
                                         confirmation_case{"large_group", 40, 0},
                                         confirmation_case{"large_group_with_loss", 40, 0.2}),
                         [](const auto& test) { return test.param.name; });

struct reach_case {
    std::string name;
    std::size_t nodes;
    /// Number of other nodes that hear the node when it publishes an ending.
    std::size_t reached;
    bool confirmed;
};

class reached_observers : public testing::TestWithParam<reach_case> {};

// Guards against a confirmation by a node that is cut off from most of those that should keep it.
TEST_P(reached_observers, decide_whether_an_ending_may_be_confirmed)
{
    fake_fleet fleet(1);
    start_domain(fleet, GetParam().nodes);
    fleet.run(5s);
    const auto name = node_name(GetParam().nodes - 1);
    fleet.net.cut = [&](const auto& from, const auto& to) {
        return from == name && to >= node_name(GetParam().reached);
    };
    const run_ending ending{base::instance_id("i1"), {10, 5}, true};
    fleet.perform(name, fleet.at(name).set_backends({}, fleet.now, {ending}));
    fleet.run(1s);
    const auto published = fleet.at(name).published_endings();
    EXPECT_EQ(fleet.at(name).confirmed_endings() == published, GetParam().confirmed);
    fleet.net.cut = nullptr;
    fleet.run(1s);
    EXPECT_EQ(fleet.at(name).confirmed_endings(), published);
}

INSTANTIATE_TEST_SUITE_P(table, reached_observers,
                         testing::Values(reach_case{"only_node_of_the_group", 1, 0, true},
                                         reach_case{"none_of_one", 2, 0, false},
                                         reach_case{"one_of_one", 2, 1, true},
                                         reach_case{"none_of_five", 6, 0, false},
                                         reach_case{"two_of_five", 6, 2, false},
                                         reach_case{"three_of_five", 6, 3, true}),
                         [](const auto& test) { return test.param.name; });

struct minority_case {
    std::string name;
    /// Time for which the node's side, a third of the group, is cut off from the rest.
    base::duration cut_time;
};

class restarts_in_a_minority : public testing::TestWithParam<minority_case> {};

// Guards against a node that restarts in a cut-off failure domain and serves nobody there until the
// others are declared dead, and against one that stops asking them once it serves.
TEST_P(restarts_in_a_minority, serve_within_seconds_and_ask_until_the_others_answer)
{
    const run_ending ending{base::instance_id("i1"), {10, 5}, true};
    constexpr std::size_t first_of_side = 8;
    constexpr std::size_t nodes = 12;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        fake_fleet fleet(seed);
        start_domain(fleet, nodes);
        fleet.options.seeds.emplace_back(node_name(first_of_side).value() + ":1");
        fleet.run(5s);
        const auto name = node_name(nodes - 1);
        const auto on_side = [&](const auto& node) { return node >= node_name(first_of_side); };
        // The other members of the side do not get the ending.
        fleet.net.cut = [&](const auto& from, const auto& to) {
            return from != to && on_side(from) && on_side(to);
        };
        fleet.perform(name, fleet.at(name).set_backends({}, fleet.now, {ending}));
        fleet.run(20ms);
        fleet.net.cut = [&](const auto& from, const auto& to) {
            return on_side(from) != on_side(to);
        };
        fleet.kill(name);
        fleet.recovered_endings.clear();
        fleet.start(name, "d1", 101);
        const auto knows = [&] { return fleet.at(name).knows_earlier_endings(); };
        EXPECT_LT(fleet.run_until(knows, 3s), 2s) << "seed " << seed;
        fleet.run(GetParam().cut_time);
        fleet.net.cut = nullptr;
        const auto recovered = [&] { return !fleet.recovered_endings[name].empty(); };
        EXPECT_LT(fleet.run_until(recovered, 10s), 10s) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(table, restarts_in_a_minority,
                         testing::Values(minority_case{"cut_for_a_moment", 500ms},
                                         minority_case{"cut_for_seconds", 5s},
                                         minority_case{"cut_for_half_a_minute", 30s}),
                         [](const auto& test) { return test.param.name; });

struct fault_case {
    std::string name;
    std::size_t nodes;
    std::function<void(fake_fleet&)> inject_fault;
    /// Time within which all running nodes must agree after the fault.
    base::duration agreement_limit;
};

class fleet_faults : public testing::TestWithParam<fault_case> {};

void cut_between(fake_fleet& fleet, std::size_t first_of_second_half)
{
    fleet.net.cut = [=](const base::node_id& a, const base::node_id& b) {
        const base::node_id border = node_name(first_of_second_half);
        return (a < border) != (b < border);
    };
}

// Guards against members that, after a fault, stay missing, reappear although they are dead, or
// keep the record of an earlier run.
TEST_P(fleet_faults, ends_in_agreement)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        fake_fleet fleet(seed);
        start_domain(fleet, GetParam().nodes);
        fleet.run(5s);
        ASSERT_TRUE(agreed(fleet)) << "before the fault, seed " << seed;
        GetParam().inject_fault(fleet);
        fleet.run_until([&] { return agreed(fleet); }, GetParam().agreement_limit);
        EXPECT_TRUE(agreed(fleet)) << "seed " << seed;
        fleet.run(5s);
        EXPECT_TRUE(agreed(fleet)) << "5 s later, seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(
    table, fleet_faults,
    testing::Values(
        fault_case{"alone", 1, [](fake_fleet&) {}, 0s},
        fault_case{"two_nodes_one_dies", 2, [](fake_fleet& fleet) { fleet.kill(node_name(1)); },
                   3s},
        fault_case{"two_nodes_cut_and_back", 2,
                   [](fake_fleet& fleet) {
                       cut_between(fleet, 1);
                       fleet.run(10s);
                       EXPECT_EQ(fleet.at(node_name(0)).members().alive_count(), 1U);
                       fleet.net.cut = nullptr;
                   },
                   5s},
        fault_case{"dies", 40, [](fake_fleet& fleet) { fleet.kill(node_name(7)); }, 3s},
        fault_case{"seed_dies", 40, [](fake_fleet& fleet) { fleet.kill(node_name(0)); }, 3s},
        fault_case{"leaves", 40,
                   [](fake_fleet& fleet) {
                       fleet.perform(node_name(7), fleet.at(node_name(7)).leave(fleet.now));
                       fleet.run(500ms);
                       fleet.kill(node_name(7));
                   },
                   2s},
        fault_case{"restarts_newer", 40,
                   [](fake_fleet& fleet) {
                       fleet.kill(node_name(7));
                       fleet.run(500ms);
                       fleet.start(node_name(7), "d1", 101);
                   },
                   1s},
        fault_case{"restarts_with_clock_set_back", 40,
                   [](fake_fleet& fleet) {
                       fleet.kill(node_name(7));
                       fleet.run(500ms);
                       fleet.start(node_name(7), "d1", 50);
                   },
                   1s},
        fault_case{"restarts_within_the_same_second", 40,
                   [](fake_fleet& fleet) {
                       fleet.announce(node_name(7), "advice");
                       fleet.run(100ms);
                       fleet.kill(node_name(7));
                       fleet.start(node_name(7), "d1", 100);
                   },
                   1s},
        fault_case{"restarts_after_death_with_clock_set_back", 40,
                   [](fake_fleet& fleet) {
                       fleet.kill(node_name(7));
                       fleet.run(5s);
                       fleet.start(node_name(7), "d1", 50);
                   },
                   1s},
        fault_case{"stalled_longer_than_the_time_out", 40,
                   [](fake_fleet& fleet) {
                       fleet.stall(node_name(7), 6s);
                       fleet.run(6s);
                   },
                   3s},
        fault_case{"stalled_longer_than_the_tombstones", 20,
                   [](fake_fleet& fleet) {
                       fleet.kill(node_name(5));
                       fleet.stall(node_name(7), 700s);
                       fleet.run(700s);
                   },
                   3s},
        fault_case{"forty_restart_together", 60,
                   [](fake_fleet& fleet) {
                       for (std::size_t index = 0; index < 40; ++index) {
                           fleet.kill(node_name(index));
                       }
                       fleet.run(1s);
                       for (std::size_t index = 0; index < 40; ++index) {
                           fleet.start(node_name(index), "d1", 101);
                       }
                   },
                   5s},
        fault_case{"rack_dies", 60,
                   [](fake_fleet& fleet) {
                       for (std::size_t index = 10; index < 30; ++index) {
                           fleet.kill(node_name(index));
                       }
                   },
                   30s},
        fault_case{"nine_in_ten_die", 40,
                   [](fake_fleet& fleet) {
                       for (std::size_t index = 4; index < 40; ++index) {
                           fleet.kill(node_name(index));
                       }
                   },
                   60s},
        fault_case{"whole_domain_gone_and_back", 40,
                   [](fake_fleet& fleet) {
                       for (std::size_t index = 0; index < 40; ++index) {
                           fleet.kill(node_name(index));
                       }
                       fleet.run(60s);
                       for (std::size_t index = 0; index < 40; ++index) {
                           fleet.start(node_name(index), "d1", 101);
                       }
                   },
                   5s},
        fault_case{"second_lost_right_after_a_repair", 40,
                   [](fake_fleet& fleet) {
                       fleet.kill(node_name(7));
                       fleet.run(10s);
                       fleet.start(node_name(7), "d1", 101);
                       fleet.run(1s);
                       fleet.kill(node_name(8));
                   },
                   3s},
        fault_case{"domain_divided_and_joined", 40,
                   [](fake_fleet& fleet) {
                       cut_between(fleet, 20);
                       fleet.run(60s);
                       EXPECT_EQ(fleet.at(node_name(0)).members().alive_count(), 20U);
                       EXPECT_EQ(fleet.at(node_name(30)).members().alive_count(), 20U);
                       fleet.net.cut = nullptr;
                   },
                   20s},
        fault_case{"divided_for_longer_than_the_tombstones", 20,
                   [](fake_fleet& fleet) {
                       cut_between(fleet, 10);
                       fleet.run(1'300s);
                       fleet.net.cut = nullptr;
                   },
                   20s},
        fault_case{"cannot_send_for_a_while", 40,
                   [](fake_fleet& fleet) {
                       fleet.net.cut = [](const base::node_id& a, const base::node_id&) {
                           return a == node_name(7);
                       };
                       fleet.run(20s);
                       EXPECT_EQ(fleet.at(node_name(0)).members().find_alive(node_name(7)),
                                 nullptr);
                       fleet.net.cut = nullptr;
                   },
                   10s}),
    [](const auto& tested) { return tested.param.name; });

struct quiet_case {
    std::string name;
    std::size_t nodes;
    base::duration time;
    /// Applies the condition under test; called each second.
    std::function<void(fake_fleet&)> condition;
    /// Index of the node whose table and state are not checked. The default excludes no node.
    std::size_t excluded = 1'000;
};

class no_false_death : public testing::TestWithParam<quiet_case> {};

// Guards against false positives of failure detection: each checked node must be alive in the
// tables of all other checked nodes throughout the test.
TEST_P(no_false_death, holds_throughout)
{
    fake_fleet fleet(11);
    start_domain(fleet, GetParam().nodes);
    fleet.run(5s);
    ASSERT_TRUE(agreed(fleet));
    std::vector<base::node_id> judged = fleet.names();
    std::erase(judged, node_name(GetParam().excluded));
    const base::time_point end = fleet.now + GetParam().time;
    while (fleet.now < end) {
        GetParam().condition(fleet);
        fleet.run(1s);
        for (const base::node_id& name : judged) {
            // A node that refuted a tombstone has a higher incarnation than at its start.
            ASSERT_EQ(fleet.at(name).self().incarnation, base::incarnation(100)) << name;
            for (const base::node_id& other : judged) {
                ASSERT_NE(fleet.at(name).members().find_alive(other), nullptr) << other;
            }
        }
    }
}

/// Drops messages between one node and the nodes with an index below `border`, in the given
/// directions.
void cut_node(fake_fleet& fleet, std::size_t node, std::size_t border, bool sends, bool receives)
{
    fleet.net.cut = [=](const base::node_id& from, const base::node_id& to) {
        return (sends && from == node_name(node) && to < node_name(border)) ||
               (receives && to == node_name(node) && from < node_name(border));
    };
}

INSTANTIATE_TEST_SUITE_P(
    table, no_false_death,
    testing::Values(quiet_case{"hour_of_loss", 20, 3'600s,
                               [](fake_fleet& fleet) { fleet.net.loss_rate = 0.2; }},
                    quiet_case{"hour_of_loss_two_nodes", 2, 3'600s,
                               [](fake_fleet& fleet) { fleet.net.loss_rate = 0.2; }},
                    quiet_case{"doubled_and_reordered", 20, 300s,
                               [](fake_fleet& fleet) {
                                   fleet.net.duplicate_rate = 0.5;
                                   fleet.net.min_delay = 0ms;
                                   fleet.net.max_delay = 400ms;
                               }},
                    quiet_case{"hour_with_stalled_observer", 20, 3'600s,
                               [](fake_fleet& fleet) {
                                   if (fleet.now.time_since_epoch() / 1s % 10 == 0) {
                                       fleet.stall(node_name(3), 6s);
                                   }
                               },
                               3},
                    quiet_case{"deaf_node", 20, 300s,
                               [](fake_fleet& fleet) { cut_node(fleet, 3, 20, false, true); }, 3},
                    quiet_case{"mute_node", 20, 300s,
                               [](fake_fleet& fleet) { cut_node(fleet, 3, 20, true, false); }, 3},
                    quiet_case{"isolated_node", 20, 300s,
                               [](fake_fleet& fleet) { cut_node(fleet, 3, 20, true, true); }, 3},
                    quiet_case{"deaf_towards_half", 20, 300s,
                               [](fake_fleet& fleet) { cut_node(fleet, 3, 10, false, true); }, 3}),
    [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::membership
