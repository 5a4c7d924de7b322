#include "lease/lease_voter.hpp"

#include <gtest/gtest.h>

#include <string>

namespace damaskladder::lease {
namespace {

using std::chrono::milliseconds;

const lease_resource resource("d1");

/// One message to the voter and the expected verdict; a release has none.
struct step {
    int at_ms;
    std::string candidate;
    std::uint64_t incarnation;
    std::uint64_t epoch;
    std::optional<lease_verdict> answer;
    bool renewal = false;
};

struct voter_case {
    std::string name;
    std::vector<step> steps;
};

class voter_table : public testing::TestWithParam<voter_case> {};

TEST_P(voter_table, answers_each_step)
{
    lease_voter voter({}, base::node_id("v"), resource, base::time_point{});
    for (const auto& s : GetParam().steps) {
        const base::time_point now{milliseconds(s.at_ms)};
        const base::node_id node(s.candidate);
        const base::incarnation run(s.incarnation);
        if (!s.answer) {
            voter.on_release({resource, node, run, lease_epoch(s.epoch)});
            continue;
        }
        const auto effects = voter.on_request(
            {resource, node, run, lease_epoch(s.epoch), lease_round(1), s.renewal}, now);
        ASSERT_EQ(effects.size(), 1U);
        EXPECT_EQ(effects[0].to, node);
        EXPECT_EQ(std::get<lease_reply>(effects[0].message).verdict, *s.answer)
            << "at " << s.at_ms << " ms";
    }
}

constexpr auto granted = lease_verdict::granted;
constexpr auto held = lease_verdict::held;

INSTANTIATE_TEST_SUITE_P(
    faults, voter_table,
    testing::Values(
        // Guards against a vote by a restarted voter that has lost its record of grants.
        voter_case{"abstains_after_start",
                   {{0, "a", 1, 1, lease_verdict::abstaining},
                    {3'006, "a", 1, 1, lease_verdict::abstaining},
                    {3'007, "a", 1, 1, granted}}},
        // Guards against a second holder while the first grant is valid.
        voter_case{
            "one_grant_at_a_time",
            {{4'000, "a", 1, 1, granted}, {6'999, "b", 1, 2, held}, {7'000, "b", 1, 2, granted}}},
        // Guards against a renewal that does not extend the grant.
        voter_case{"renewal_prolongs",
                   {{4'000, "a", 1, 1, granted},
                    {6'000, "a", 1, 1, granted},
                    {8'999, "b", 1, 2, held},
                    {9'000, "b", 1, 2, granted}}},
        // Guards against waiting for the expiry of a lease that was released.
        voter_case{
            "give_up_frees_at_once",
            {{4'000, "a", 1, 1, granted}, {4'001, "a", 1, 1, {}}, {4'001, "b", 1, 2, granted}}},
        // Guards against a delayed release of an earlier epoch that releases the current one.
        voter_case{"late_give_up",
                   {{4'000, "a", 1, 1, granted},
                    {4'001, "a", 1, 2, granted},
                    {4'002, "a", 1, 1, {}},
                    {4'003, "b", 1, 3, held}}},
        // Guards against a request that arrives after its release and blocks other candidates for
        // a lease duration.
        voter_case{"ask_after_give_up",
                   {{4'000, "a", 1, 1, granted},
                    {4'001, "a", 1, 1, {}},
                    {4'002, "a", 1, 1, lease_verdict::stale_epoch},
                    {4'003, "b", 1, 2, granted}}},
        // Guards against a release by a candidate that does not hold the lease.
        voter_case{"give_up_of_another",
                   {{4'000, "a", 1, 1, granted}, {4'001, "b", 1, 1, {}}, {4'002, "b", 1, 2, held}}},
        // Guards against two incarnations of one node that hold at the same time.
        voter_case{"new_incarnation_waits",
                   {{4'000, "a", 1, 1, granted},
                    {5'000, "a", 2, 2, held},
                    {5'001, "a", 1, 1, lease_verdict::earlier_incarnation},
                    {7'000, "a", 2, 2, granted}}},
        // Guards against a holder that loses its lease because another candidate won a single vote
        // with a higher epoch (seen with five voters, seed 272).
        voter_case{"renewal_of_smaller_epoch",
                   {{4'000, "b", 1, 6, granted},
                    {4'001, "b", 1, 6, {}},
                    {4'002, "a", 1, 5, granted, true}}},
        // Guards against a delayed renewal that replaces a later grant of the same candidate, which
        // a release of the earlier epoch then ends (seen with one voter, seed 110).
        voter_case{"delayed_renewal",
                   {{4'000, "a", 1, 5, granted},
                    {4'001, "a", 1, 6, granted},
                    {4'002, "a", 1, 5, lease_verdict::stale_epoch, true},
                    {4'003, "a", 1, 5, {}},
                    {4'004, "b", 1, 7, held}}},
        // Guards against epochs that do not increase between successive holders.
        voter_case{"epoch_grows",
                   {{4'000, "a", 1, 5, granted},
                    {7'000, "b", 1, 5, lease_verdict::stale_epoch},
                    {7'000, "b", 1, 6, granted}}}),
    [](const auto& param) { return param.param.name; });

} // namespace
} // namespace damaskladder::lease
