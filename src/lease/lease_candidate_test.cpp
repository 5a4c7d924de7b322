#include "lease/lease_candidate.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace damaskladder::lease {
namespace {

using std::chrono::milliseconds;

constexpr auto granted = lease_verdict::granted;
constexpr auto held = lease_verdict::held;

/// A voter's answer to the first round of requests.
struct answer {
    int at_ms;
    std::string voter;
    lease_verdict verdict;
};

struct candidate_case {
    std::string name;
    std::vector<std::string> voters;
    std::vector<answer> answers;
    int check_at_ms;
    bool holds;
};

class candidate_table : public testing::TestWithParam<candidate_case> {};

TEST_P(candidate_table, holds_only_with_majority)
{
    const auto& param = GetParam();
    std::vector<base::node_id> voters(param.voters.begin(), param.voters.end());
    lease_candidate candidate({}, base::node_id("a"), base::incarnation(1), lease_resource("d"),
                              voters, [] { return 0; });
    const auto requests = candidate.acquire(base::time_point{});
    ASSERT_EQ(requests.size(), voters.size());
    const auto request = std::get<lease_request>(requests[0].message);
    for (const auto& entry : param.answers) {
        candidate.on_reply(
            {request, base::node_id(entry.voter), entry.verdict, {}, milliseconds(100)},
            base::time_point{milliseconds(entry.at_ms)});
    }
    EXPECT_EQ(candidate.holds(base::time_point{milliseconds(param.check_at_ms)}), param.holds);
}

INSTANTIATE_TEST_SUITE_P(
    faults, candidate_table,
    testing::Values(
        candidate_case{"one_voter", {"x"}, {{1, "x", granted}}, 2, true},
        candidate_case{
            "two_of_three", {"x", "y", "z"}, {{1, "x", granted}, {2, "z", granted}}, 3, true},
        candidate_case{"one_of_three", {"x", "y", "z"}, {{1, "x", granted}}, 3, false},
        // Guards against counting a duplicated grant twice.
        candidate_case{
            "duplicate", {"x", "y", "z"}, {{1, "x", granted}, {2, "x", granted}}, 3, false},
        // Guards against counting a grant from a process that is not a voter.
        candidate_case{
            "stranger", {"x", "y", "z"}, {{1, "x", granted}, {2, "q", granted}}, 3, false},
        // Guards against a grant that arrives after the round was abandoned.
        candidate_case{"split_vote",
                       {"x", "y", "z"},
                       {{1, "x", granted}, {2, "y", held}, {3, "z", held}, {4, "y", granted}},
                       5,
                       false},
        // Guards against a hold longer than the lease duration shortened by the drift, counted from
        // the time of sending.
        candidate_case{"shortened", {"x"}, {{100, "x", granted}}, 2'993, true},
        candidate_case{"ended", {"x"}, {{100, "x", granted}}, 2'994, false},
        // Guards against a grant that was in transit for longer than the lease.
        candidate_case{"late_grant", {"x"}, {{3'000, "x", granted}}, 3'000, false}),
    [](const auto& param) { return param.param.name; });

struct notice_case {
    std::string name;
    /// Verdict of the only voter on the first request, at 1 ms; none if it does not answer.
    std::optional<lease_verdict> verdict;
    /// Another candidate says at 2 ms that it holds the lease.
    bool notice;
    int timer_at_ms;
    /// Requests sent by the timer.
    int requests;
};

class holder_notices : public testing::TestWithParam<notice_case> {};

// Guards against candidates that ask the voters several times a second while another one holds the
// lease, against a holder that does not renew because of a notice of the one before it, and against
// candidates that stay quiet after the holder is lost.
TEST_P(holder_notices, delay_requests_but_no_renewal)
{
    const auto& tested = GetParam();
    lease_options options;
    options.quiet_after_notice = milliseconds(650);
    const base::node_id voter("x");
    lease_candidate candidate(options, base::node_id("a"), base::incarnation(1),
                              lease_resource("d"), {voter}, [] { return 0; });
    const auto first = std::get<lease_request>(candidate.acquire(base::time_point{})[0].message);
    if (tested.verdict) {
        candidate.on_reply({first, voter, *tested.verdict, {}, milliseconds(100)},
                           base::time_point{milliseconds(1)});
    }
    if (tested.notice) {
        candidate.on_holder_notice(base::time_point{milliseconds(2)});
    }
    int requests = 0;
    for (const auto& effect :
         candidate.on_timer(base::time_point{milliseconds(tested.timer_at_ms)})) {
        requests += std::holds_alternative<lease_request>(effect.message) ? 1 : 0;
    }
    EXPECT_EQ(requests, tested.requests);
}

INSTANTIATE_TEST_SUITE_P(table, holder_notices,
                         testing::Values(notice_case{"refused", held, false, 200, 1},
                                         notice_case{"refused_and_notice", held, true, 200, 0},
                                         notice_case{"just_quiet", held, true, 651, 0},
                                         notice_case{"no_longer_quiet", held, true, 652, 1},
                                         notice_case{"renewal", granted, true, 750, 1},
                                         notice_case{"unanswered", std::nullopt, true, 250, 0}),
                         [](const auto& tested) { return tested.param.name; });

// Guards against a candidate that still holds after release(), and against voters that are not
// notified.
TEST(candidate, give_up_ends_hold_and_tells_voters)
{
    lease_candidate candidate({}, base::node_id("a"), base::incarnation(1), lease_resource("d"),
                              {base::node_id("x")}, [] { return 0; });
    const auto requests = candidate.acquire(base::time_point{});
    const auto request = std::get<lease_request>(requests[0].message);
    candidate.on_reply({request, base::node_id("x"), granted, {}, {}}, base::time_point{});
    ASSERT_TRUE(candidate.holds(base::time_point{}));
    const auto effects = candidate.release(base::time_point{});
    EXPECT_FALSE(candidate.holds(base::time_point{}));
    ASSERT_EQ(effects.size(), 1U);
    EXPECT_EQ(std::get<lease_release>(effects[0].message).epoch, request.epoch);
    EXPECT_EQ(candidate.next_timer(), base::time_point::max());
}

} // namespace
} // namespace damaskladder::lease
