#include "membership/announcement_registry.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace damaskladder::membership {
namespace {

enum class step_kind { announce, withdraw, drain };

constexpr auto announce = step_kind::announce;
constexpr auto withdraw = step_kind::withdraw;
constexpr auto drain = step_kind::drain;
constexpr auto accepted = announce_verdict::accepted;
constexpr auto outdated = announce_verdict::outdated;
/// Longer than a lease.
constexpr base::duration lease_ended = std::chrono::seconds(5);

/// One message of a run at the test's port, and the expected verdict.
struct run_step {
    step_kind kind = step_kind::announce;
    std::string instance;
    run_position position;
    bool draining = false;
    announce_verdict verdict = announce_verdict::accepted;
    /// Time since the step before.
    base::duration after = std::chrono::milliseconds(100);
};

struct run_case {
    std::string name;
    std::vector<run_step> steps;
    /// Instance announced after the last step, with " draining" appended if it drains; empty if
    /// none is announced.
    std::string announced;
};

announcement offer_of(const run_step& step)
{
    announcement offer;
    offer.service = base::service_id("orders");
    offer.port = base::port_number(9000);
    offer.slots = base::slot_count(40);
    offer.connections = connection_count(40);
    offer.draining = step.draining;
    offer.instance = base::instance_id(step.instance);
    offer.position = step.position;
    return offer;
}

std::string announced(const announcement_registry& leases)
{
    std::string text;
    for (const auto& backend : leases.backends()) {
        text += backend.instance.value() + (backend.draining ? " draining" : "");
    }
    return text;
}

class announced_runs : public testing::TestWithParam<run_case> {};

// Guards against delayed messages that announce a withdrawn server again or cancel its drain.
TEST_P(announced_runs, are_applied_in_message_order)
{
    announcement_options options;
    options.may_announce = [](const auto&, const auto&) { return true; };
    announcement_registry leases(options);
    base::time_point now;
    for (const auto& step : GetParam().steps) {
        now += step.after;
        const auto offer = offer_of(step);
        if (step.kind == step_kind::drain) {
            EXPECT_EQ(leases.drain_run(offer.instance), step.verdict == accepted);
            continue;
        }
        const auto verdict = step.kind == step_kind::announce ? leases.announce(offer, now)
                                                              : leases.withdraw(offer, now);
        EXPECT_EQ(verdict, step.verdict) << step.instance << ' ' << step.position.sequence;
    }
    EXPECT_EQ(announced(leases), GetParam().announced);
}

INSTANTIATE_TEST_SUITE_P(
    table, announced_runs,
    testing::Values(run_case{"drain_lasts_for_the_run",
                             {{announce, "i1", {1, 1}},
                              {drain, "i1", {}},
                              {drain, "i1", {}, false, outdated},
                              {drain, "other", {}, false, outdated},
                              {announce, "i1", {1, 2}}},
                             "i1 draining"},
                    run_case{
                        "drain_ends_with_the_run",
                        {{announce, "i1", {1, 1}}, {drain, "i1", {}}, {announce, "i1", {2, 1}}},
                        "i1"},
                    run_case{"in_order",
                             {{announce, "i1", {10, 1}, false, accepted},
                              {announce, "i1", {10, 2}, false, accepted}},
                             "i1"},
                    run_case{"sent_again",
                             {{announce, "i1", {10, 2}, false, accepted},
                              {announce, "i1", {10, 2}, false, accepted}},
                             "i1"},
                    run_case{"late_ready_after_draining",
                             {{announce, "i1", {10, 3}, true, accepted},
                              {announce, "i1", {10, 2}, false, outdated}},
                             "i1 draining"},
                    run_case{"late_after_withdrawal",
                             {{announce, "i1", {10, 3}, false, accepted},
                              {withdraw, "i1", {}, false, accepted},
                              {announce, "i1", {10, 4}, false, outdated}},
                             ""},
                    run_case{"same_name_started_again",
                             {{announce, "i1", {10, 3}, false, accepted},
                              {withdraw, "i1", {}, false, accepted},
                              {announce, "i1", {20, 1}, false, accepted}},
                             "i1"},
                    run_case{"restart_ends_the_drain",
                             {{announce, "i1", {10, 3}, true, accepted},
                              {announce, "i1", {20, 1}, false, accepted}},
                             "i1"},
                    run_case{"later_run_takes_the_port",
                             {{announce, "i1", {10, 9}, false, accepted},
                              {announce, "i2", {20, 1}, false, accepted}},
                             "i2"},
                    run_case{"earlier_run_comes_late",
                             {{announce, "i2", {20, 1}, false, accepted},
                              {announce, "i1", {10, 9}, false, outdated}},
                             "i2"},
                    run_case{"withdrawal_of_an_unknown_run",
                             {{withdraw, "i1", {}, false, announce_verdict::unknown}},
                             ""},
                    run_case{"late_ready_after_the_lease_of_a_draining_run",
                             {{announce, "i1", {10, 3}, true, accepted},
                              {announce, "i1", {10, 2}, false, outdated, lease_ended}},
                             ""},
                    run_case{"drain_lasts_longer_than_the_lease",
                             {{announce, "i1", {10, 1}, false, accepted},
                              {drain, "i1", {}},
                              {announce, "i1", {10, 2}, false, accepted, lease_ended}},
                             "i1 draining"},
                    run_case{"drain_ends_with_the_run_after_the_lease",
                             {{announce, "i1", {10, 3}, true, accepted},
                              {announce, "i1", {20, 1}, false, accepted, lease_ended}},
                             "i1"},
                    run_case{"late_after_withdrawal_at_a_restarted_node",
                             {{withdraw, "i1", {10, 5}, false, accepted},
                              {announce, "i1", {10, 4}, false, outdated}},
                             ""},
                    run_case{"late_after_withdrawal_without_lease",
                             {{announce, "i1", {10, 3}, false, accepted},
                              {withdraw, "i1", {}, false, accepted, lease_ended},
                              {announce, "i1", {10, 4}, false, outdated}},
                             ""},
                    run_case{"withdrawal_sent_again",
                             {{announce, "i1", {10, 3}, false, accepted},
                              {withdraw, "i1", {10, 4}, false, accepted},
                              {withdraw, "i1", {10, 4}, false, accepted}},
                             ""},
                    run_case{"started_again_after_a_withdrawal_without_lease",
                             {{withdraw, "i1", {10, 5}, false, accepted},
                              {announce, "i1", {20, 1}, false, accepted}},
                             "i1"},
                    run_case{"late_after_withdrawal_and_the_lease_of_the_next_run",
                             {{announce, "i1", {10, 3}, false, accepted},
                              {withdraw, "i1", {}, false, accepted},
                              {announce, "i1", {20, 1}, false, accepted},
                              {announce, "i1", {10, 4}, false, outdated, lease_ended}},
                             ""},
                    run_case{"withdrawal_after_the_leases_of_two_runs",
                             {{announce, "i1", {10, 3}, false, accepted},
                              {announce, "i1", {20, 1}, false, accepted, lease_ended},
                              {withdraw, "i1", {}, false, accepted, lease_ended},
                              {announce, "i1", {20, 2}, false, outdated}},
                             ""},
                    run_case{"late_withdrawal_without_lease",
                             {{announce, "i1", {20, 5}, false, accepted},
                              {announce, "i2", {30, 1}, false, accepted, lease_ended},
                              {withdraw, "i1", {10, 9}, false, outdated},
                              {announce, "i1", {40, 1}, false, accepted}},
                             "i1"},
                    run_case{"late_withdrawal",
                             {{announce, "i1", {20, 5}, false, accepted},
                              {withdraw, "i1", {10, 9}, false, outdated}},
                             "i1"}),
    [](const auto& test) { return test.param.name; });

// Guards against a change of the node's record, which all members of its group pass on, with each
// message of a server that drains.
TEST(announcement_registry, endings_stay_equal_while_a_run_drains)
{
    announcement_options options;
    options.may_announce = [](const auto&, const auto&) { return true; };
    announcement_registry leases(options);
    base::time_point now;
    leases.announce(offer_of({announce, "i1", {10, 4}}), now);
    EXPECT_TRUE(leases.endings(now).empty());
    leases.announce(offer_of({announce, "i1", {10, 5}, true}), now);
    const auto first = leases.endings(now);
    EXPECT_EQ(first, (std::vector<run_ending>{{base::instance_id("i1"), {10, 5}, false}}));
    leases.announce(offer_of({announce, "i1", {10, 6}, true}), now);
    leases.announce(offer_of({announce, "i1", {10, 7}}), now);
    EXPECT_EQ(leases.endings(now), first);
}

struct recovery_case {
    std::string name;
    /// Before the restart.
    std::vector<run_step> before;
    /// After the restart and before the endings are recovered.
    std::vector<run_step> early;
    std::vector<run_step> after;
    std::string announced;
};

void apply(announcement_registry& leases, const std::vector<run_step>& steps, base::time_point& now)
{
    for (const auto& step : steps) {
        now += step.after;
        const auto offer = offer_of(step);
        const auto verdict = step.kind == step_kind::announce ? leases.announce(offer, now)
                                                              : leases.withdraw(offer, now);
        EXPECT_EQ(verdict, step.verdict) << step.instance << ' ' << step.position.sequence;
    }
}

class recovered_runs : public testing::TestWithParam<recovery_case> {};

// Guards against a server that left, or drains, and is in use again because its node has restarted.
TEST_P(recovered_runs, stay_ended)
{
    announcement_options options;
    options.may_announce = [](const auto&, const auto&) { return true; };
    base::time_point now;
    announcement_registry first(options);
    apply(first, GetParam().before, now);
    announcement_registry restarted(options);
    apply(restarted, GetParam().early, now);
    restarted.recover(first.endings(now), now);
    apply(restarted, GetParam().after, now);
    EXPECT_EQ(announced(restarted), GetParam().announced);
    announcement_registry again(options);
    again.recover(restarted.endings(now), now);
    EXPECT_EQ(again.endings(now).size(), restarted.endings(now).size());
}

const std::vector<run_step> left = {{announce, "i1", {10, 4}}, {withdraw, "i1", {10, 6}}};
const std::vector<run_step> drains = {{announce, "i1", {10, 4}}, {announce, "i1", {10, 6}, true}};

INSTANTIATE_TEST_SUITE_P(
    table, recovered_runs,
    testing::Values(
        recovery_case{
            "late_after_withdrawal", left, {}, {{announce, "i1", {10, 5}, false, outdated}}, ""},
        recovery_case{"late_before_the_endings_are_back",
                      left,
                      {{announce, "i1", {10, 5}}},
                      {{announce, "i1", {10, 5}, false, outdated}},
                      ""},
        recovery_case{"started_again_under_its_name", left, {}, {{announce, "i1", {20, 1}}}, "i1"},
        recovery_case{"started_again_before_the_endings_are_back",
                      left,
                      {{announce, "i1", {20, 1}}},
                      {{announce, "i1", {20, 2}}},
                      "i1"},
        recovery_case{"other_run_at_the_port",
                      left,
                      {{announce, "i2", {30, 1}}},
                      {{announce, "i2", {30, 2}}},
                      "i2"},
        recovery_case{
            "late_after_draining", drains, {}, {{announce, "i1", {10, 5}, false, outdated}}, ""},
        recovery_case{"late_after_draining_before_the_endings_are_back",
                      drains,
                      {{announce, "i1", {10, 5}}},
                      {{announce, "i1", {10, 5}, false, outdated}},
                      "i1 draining"},
        recovery_case{"drains_on", drains, {}, {{announce, "i1", {10, 7}}}, "i1 draining"},
        recovery_case{"withdrawn_after_draining", drains, {}, {{withdraw, "i1", {10, 8}}}, ""},
        recovery_case{"ready_is_no_ending",
                      {{announce, "i1", {10, 4}}},
                      {},
                      {{announce, "i1", {10, 5}}},
                      "i1"}),
    [](const auto& test) { return test.param.name; });

} // namespace
} // namespace damaskladder::membership
