#include "propagation/fake_settings_fleet_test.hpp"
#include "propagation/message_check.hpp"

#include <gtest/gtest.h>

namespace damaskladder::propagation {
namespace {

/// Time for a change to reach all nodes, 4 s, from the targets of the design page.
constexpr base::duration rollout_limit = 4s;

struct fault_case {
    std::string name;
    std::function<void(fake_settings_fleet&)> before_change;
    base::duration time_limit = rollout_limit;
    std::function<void(fake_settings_fleet&)> after_change = [](fake_settings_fleet&) {};
};

class settings_faults : public testing::TestWithParam<fault_case> {};

// Guards against changes that are applied too late, reverted versions, and under-reported
// staleness. The fake checks for the last two.
TEST_P(settings_faults, change_comes_into_force)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        fake_settings_fleet fleet(seed);
        fleet.drift = 0.001;
        start_two_levels(fleet, 10);
        fleet.accept();
        fleet.run(5s);
        ASSERT_EQ(fleet.outdated_nodes(), 0U) << "before the fault, seed " << seed;
        GetParam().before_change(fleet);
        fleet.accept();
        fleet.run_until([&] { return fleet.outdated_nodes() == 0; }, GetParam().time_limit);
        EXPECT_EQ(fleet.outdated_nodes(), 0U) << "seed " << seed;
        GetParam().after_change(fleet);
        EXPECT_TRUE(fleet.violations.empty()) << fleet.violations.front() << ", seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(
    table, settings_faults,
    testing::Values(fault_case{"none", [](auto&) {}, 1s},
                    fault_case{"two_hundred_changes_at_once",
                               [](auto& fleet) {
                                   for (int change = 0; change < 200; ++change) {
                                       fleet.accept();
                                   }
                               }},
                    fault_case{"loss", [](auto& fleet) { fleet.loss = 0.2; }},
                    fault_case{"doubled_and_reordered",
                               [](auto& fleet) {
                                   fleet.duplication = 0.5;
                                   fleet.min_delay = 0ms;
                                   fleet.max_delay = 300ms;
                                   for (int change = 0; change < 20; ++change) {
                                       fleet.accept();
                                       fleet.run(50ms);
                                   }
                               }},
                    fault_case{"relay_stalled",
                               [](auto& fleet) {
                                   fleet.stall("r0", 60s);
                                   fleet.stall("q0", 60s);
                               },
                               // The stalled relays apply the change after the stall.
                               65s},
                    fault_case{"relay_restarts",
                               [](auto& fleet) {
                                   fleet.restart("r0");
                                   fleet.restart("q1");
                               }},
                    fault_case{"all_nodes_restart",
                               [](auto& fleet) {
                                   for (const std::string& name : fleet.nodes()) {
                                       fleet.restart(name);
                                   }
                               }},
                    fault_case{"sources_restart",
                               [](auto& fleet) {
                                   fleet.restart("s0");
                                   fleet.restart("s1");
                                   fleet.restart("s2");
                               }},
                    fault_case{"replica_cut_off_with_older_version",
                               [](auto& fleet) {
                                   fleet.partitioned = {"s0"};
                                   fleet.accept();
                                   fleet.run(10s);
                                   // The restarted relay may poll the cut-off replica first.
                                   fleet.restart("r0");
                               }},
                    fault_case{"two_replicas_cut_off",
                               [](auto& fleet) {
                                   fleet.partitioned = {"s0", "s1"};
                                   fleet.accept();
                                   fleet.restart("r1");
                               }},
                    fault_case{"back_after_a_long_cut",
                               [](auto& fleet) {
                                   fleet.partitioned = {"s0", "s1", "s2"};
                                   for (int change = 0; change < 2'000; ++change) {
                                       fleet.accept();
                                   }
                                   fleet.run(60s);
                                   for (const std::string& name : fleet.nodes()) {
                                       EXPECT_GT(fleet.staleness(name).value(), 59s) << name;
                                   }
                                   fleet.partitioned.clear();
                               }}),
    [](const auto& tested) { return tested.param.name; });

// Guards against under-reported staleness and reverted versions under random faults with drifting
// clocks (200 schedules of 60 s).
TEST(propagation, random_schedules_keep_the_bounds)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        fake_settings_fleet fleet(seed);
        fleet.drift = 0.001;
        fleet.copy_size = 40'000;
        std::mt19937_64 random(seed);
        start_two_levels(fleet, 4);
        const std::vector<std::string> all = {"s0", "s1", "s2", "r0", "r1", "q0",
                                              "q1", "n0", "n1", "n2", "n3"};
        for (int step = 0; step < 120; ++step) {
            const std::string& chosen = all[random() % all.size()];
            switch (random() % 8) {
            case 0:
                fleet.stall(chosen, 10ms * (random() % 500));
                break;
            case 1:
                fleet.restart(chosen);
                break;
            case 2:
                fleet.partitioned = {"s" + std::to_string(random() % 3)};
                break;
            case 3:
                fleet.partitioned.clear();
                break;
            case 4:
                fleet.loss = 0.1 * static_cast<double>(random() % 5);
                fleet.duplication = 0.1 * static_cast<double>(random() % 5);
                fleet.max_delay = 1ms * (2 + random() % 600);
                break;
            default:
                fleet.accept();
            }
            fleet.run(500ms);
        }
        ASSERT_TRUE(fleet.violations.empty()) << fleet.violations.front() << ", seed " << seed;
        fleet.loss = 0;
        fleet.max_delay = 2ms;
        fleet.partitioned.clear();
        fleet.run(10s);
        ASSERT_EQ(fleet.outdated_nodes(), 0U) << "seed " << seed;
        for (const std::string& name : fleet.nodes()) {
            ASSERT_LT(fleet.staleness(name).value(), 3s) << name << ", seed " << seed;
        }
    }
}

// Guards against nodes that stay with a relay that is cut off from the sources until their settings
// are too old to serve by, although another relay is current. Installations withdraw keys within 5
// s and allow settings an age of 0.6 of that.
TEST(propagation, a_relay_that_is_cut_off_is_left_in_time)
{
    constexpr base::duration shortest_max_staleness = 3s;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fake_settings_fleet fleet(seed);
        start_two_levels(fleet, 10);
        fleet.accept();
        fleet.run(5s);
        for (const std::string source : {"s0", "s1", "s2"}) {
            fleet.cut_links.insert({"r0", source});
        }
        for (int step = 0; step < 100; ++step) {
            fleet.run(100ms);
            for (const std::string& name : fleet.nodes()) {
                if (name != "r0") {
                    ASSERT_LT(fleet.staleness(name).value(), shortest_max_staleness)
                        << name << ", seed " << seed << ", step " << step;
                }
            }
        }
    }
}

// Guards against an answer to a poll of an earlier run being matched to a poll of this run.
TEST(propagation, answers_to_an_earlier_run_do_not_count)
{
    const peer relay{base::node_id("r0"), base::message_address("r0")};
    propagation_options options;
    options.self = {base::node_id("n0"), base::message_address("n0")};
    const settings_hooks hooks{[](const auto&) { return true; }, [](const auto&) { return true; },
                               [] { return settings_copy{}; }};
    std::mt19937_64 random(1);
    std::vector<update> answers;
    for (int run = 0; run < 2; ++run) {
        propagation_node node(options, hooks, [&] { return random(); });
        node.set_upstreams({{relay}});
        const effects first = node.tick(base::time_point(10s));
        for (const update& answer : answers) {
            node.receive(relay.node, answer, base::time_point(11s));
        }
        EXPECT_FALSE(node.staleness(base::time_point(11s)).has_value());
        const poll& sent = std::get<poll>(first.sends.front().body);
        answers.push_back({sent.id, freshness{base::settings_version(0), 0s}, {}, {}});
        if (run == 1) {
            node.receive(relay.node, answers.back(), base::time_point(11s));
            EXPECT_GE(node.staleness(base::time_point(11s)).value(), 1s);
        }
    }
}

struct bound_case {
    std::string name;
    message body;
    bool within_limits;
};

class settings_bounds : public testing::TestWithParam<bound_case> {};

// Guards against messages that cause unbounded memory use or arithmetic overflow.
TEST_P(settings_bounds, are_checked)
{
    EXPECT_EQ(within_limits(GetParam().body, propagation_options()), GetParam().within_limits);
}

settings_difference difference(std::uint64_t from, std::uint64_t to, std::size_t size)
{
    return {base::settings_version(from), base::settings_version(to),
            settings_bytes(std::string(size, 'x'))};
}

update with_age(base::duration age)
{
    return {poll_id(1), freshness{base::settings_version(1), age}, {}, {}};
}

update with_differences(std::vector<settings_difference> differences)
{
    return {poll_id(1), {}, std::move(differences), {}};
}

update with_copy(std::uint32_t chunks)
{
    return {poll_id(1), {}, {}, copy_offer{base::settings_version(1), chunks}};
}

poll poll_from(const std::string& address, const std::string& domain)
{
    return {poll_id(1), base::message_address(address), base::failure_domain_id(domain),
            base::settings_version(1), false};
}

replica_list replicas_named(const std::vector<std::string>& names)
{
    replica_list list{replica_list_version(1), {}};
    for (const std::string& name : names) {
        list.replicas.push_back({base::node_id(name), base::message_address(name)});
    }
    return list;
}

INSTANTIATE_TEST_SUITE_P(
    table, settings_bounds,
    testing::Values(
        bound_case{"poll", poll_from("a", "d"), true},
        bound_case{"poll_without_address", poll_from("", "d"), false},
        bound_case{"poll_long_domain", poll_from("a", std::string(129, 'd')), false},
        bound_case{"age", with_age(1s), true}, bound_case{"negative_age", with_age(-1us), false},
        bound_case{"huge_age", with_age(base::duration::max()), false},
        bound_case{"differences", with_differences({difference(1, 2, 9), difference(2, 3, 9)}),
                   true},
        bound_case{"backward_difference", with_differences({difference(2, 1, 9)}), false},
        bound_case{"one_large_difference", with_differences({difference(1, 2, 900'000)}), true},
        bound_case{"too_large_difference", with_differences({difference(1, 2, 1'100'000)}), false},
        bound_case{"too_many_bytes",
                   with_differences({difference(1, 2, 32'000), difference(2, 3, 32'000)}), false},
        bound_case{"copy", with_copy(1'024), true},
        bound_case{"too_many_chunks", with_copy(1'025), false},
        bound_case{
            "chunk",
            copy_chunk{base::settings_version(1), 0, settings_bytes(std::string(16'384, 'x'))},
            true},
        bound_case{
            "large_chunk",
            copy_chunk{base::settings_version(1), 0, settings_bytes(std::string(16'385, 'x'))},
            false},
        bound_case{"chunk_beyond_copy",
                   copy_chunk{base::settings_version(1), 1'024, settings_bytes("x")}, false},
        bound_case{"replicas", replicas_named({"a", "b"}), true},
        bound_case{"too_many_replicas", replicas_named(std::vector<std::string>(32, "a")), false},
        bound_case{"replica_without_name", replicas_named({"a", ""}), false},
        bound_case{
            "too_many_domains",
            report{std::vector<domain_report>(65, {base::failure_domain_id("d"), 1, {}, {}})},
            false}),
    [](const auto& tested) { return tested.param.name; });

struct reconnect_case {
    std::string name;
    /// Time for which the node is cut off from all sources.
    base::duration cut;
    /// The only source that answers after the cut.
    std::string answering;
};

class cut_off_nodes : public testing::TestWithParam<reconnect_case> {};

// Guards against a node that after a cut waits for one unresponsive control replica after the other
// while another one would answer: settings came into force more than a second after the cut.
TEST_P(cut_off_nodes, apply_a_change_soon_after_the_cut)
{
    // A poll interval, the delay until the other sources are polled, and two ticks.
    constexpr base::duration limit = 800ms;
    const std::vector<std::string> sources = {"s0", "s1", "s2"};
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        fake_settings_fleet fleet(seed);
        for (const std::string& source : sources) {
            fleet.add_source(source);
        }
        fleet.add_node("n", "d1", sources);
        fleet.accept();
        fleet.run(5s);
        for (const std::string& source : sources) {
            fleet.cut_links.insert({"n", source});
        }
        fleet.run(GetParam().cut);
        fleet.accept();
        fleet.run(100ms);
        fleet.cut_links.erase({"n", GetParam().answering});
        const auto taken = fleet.run_until([&] { return fleet.outdated_nodes() == 0; }, 5s);
        EXPECT_LE(taken, limit) << "seed " << seed;
        EXPECT_TRUE(fleet.violations.empty()) << fleet.violations.front() << ", seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(table, cut_off_nodes,
                         testing::Values(reconnect_case{"first", 5s, "s0"},
                                         reconnect_case{"second", 5'300ms, "s1"},
                                         reconnect_case{"third_after_a_short_cut", 2'500ms, "s2"}),
                         [](const auto& tested) { return tested.param.name; });

// Guards against staleness that ignores clock drift. A change is accepted right after the last
// answer to any node, and the error of the slowest clocks accumulates to 300 ms.
TEST(propagation, staleness_allows_for_drift)
{
    fake_settings_fleet fleet(5);
    fleet.drift = 0.001;
    start_two_levels(fleet, 10);
    fleet.run(5s);
    fleet.partitioned = {"s0", "s1", "s2"};
    for (int change = 0; change < 1'000; ++change) {
        fleet.accept();
        fleet.run(2ms);
    }
    fleet.run(300s);
    ASSERT_TRUE(fleet.violations.empty()) << fleet.violations.front();
}

// Guards against wrong node counts in `status` and against a rollout reported complete too early.
TEST(propagation, status_counts_nodes_and_time)
{
    fake_settings_fleet fleet(1);
    start_two_levels(fleet, 10);
    fleet.accept();
    fleet.run(5s);
    fleet.stall("n1", 2s);
    fleet.accept();
    fleet.run(1'500ms);
    std::map<std::string, domain_status> merged;
    const auto collect = [&] {
        merged.clear();
        for (const std::string source : {"s0", "s1", "s2"}) {
            for (const domain_status& one : fleet.source(source).statuses()) {
                domain_status& all =
                    merged.try_emplace(one.counts.domain.value(), one).first->second;
                if (all != one) {
                    all.counts.nodes += one.counts.nodes;
                    all.counts.oldest = std::min(all.counts.oldest, one.counts.oldest);
                    all.counts.newest = std::max(all.counts.newest, one.counts.newest);
                    all.rollout_time = all.rollout_time.has_value() && one.rollout_time.has_value()
                                           ? std::max(all.rollout_time, one.rollout_time)
                                           : std::nullopt;
                }
            }
        }
    };
    collect();
    EXPECT_EQ(merged.at("d2").counts.oldest, base::settings_version(1));
    EXPECT_EQ(merged.at("d2").counts.newest, base::settings_version(2));
    EXPECT_FALSE(merged.at("d2").rollout_time.has_value());
    EXPECT_EQ(merged.at("d1").counts.oldest, base::settings_version(2));
    EXPECT_LT(merged.at("d1").rollout_time.value(), 1'500ms);
    fleet.run(3s);
    collect();
    EXPECT_EQ(merged.at("d2").counts.oldest, base::settings_version(2));
    EXPECT_GT(merged.at("d2").rollout_time.value(), 2s);
}

} // namespace
} // namespace damaskladder::propagation
