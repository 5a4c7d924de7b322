#include "membership/active_clock.hpp"
#include "membership/failure_detector.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <string>

namespace damaskladder::membership {
namespace {

using namespace std::chrono_literals;
using kind = detector_action::kind;

const base::node_id self("me");
const base::node_id subject("subject");

struct vote_case {
    std::string name;
    /// Number of votes of each kind by other observers of the subject, cast 100 ms before the end
    /// of the silence.
    std::size_t suspects;
    std::size_t vouches;
    base::duration silence;
    std::vector<kind> actions;
};

class failure_detector_votes : public testing::TestWithParam<vote_case> {};

/// Rings of six members, in which each member observes all five others.
observer_rings six_members()
{
    return observer_rings({self, subject, base::node_id("o0"), base::node_id("o1"),
                           base::node_id("o2"), base::node_id("o3")},
                          5);
}

base::incarnation first_incarnation(const base::node_id&)
{
    return base::incarnation(1);
}

std::vector<kind> actions_on_subject(failure_detector& detector, base::duration active_time)
{
    std::vector<kind> found;
    for (const detector_action& action : detector.due_actions(active_time)) {
        if (action.subject == subject) {
            found.push_back(action.type);
        }
    }
    return found;
}

// Guards against nodes declared dead without a majority, and against majorities without effect.
TEST_P(failure_detector_votes, decide)
{
    failure_detector detector(self, {});
    detector.observe(six_members(), first_incarnation, 10s);
    const base::duration end = 10s + GetParam().silence;
    for (std::size_t voter = 0; voter < GetParam().suspects + GetParam().vouches; ++voter) {
        const bool suspects = voter < GetParam().suspects;
        detector.on_vote(base::node_id("o" + std::to_string(voter)), subject, base::incarnation(1),
                         suspects ? observer_verdict::suspects : observer_verdict::confirms,
                         end - 100ms);
    }
    EXPECT_EQ(actions_on_subject(detector, end), GetParam().actions);
}

const std::vector<kind> nothing{};
const std::vector<kind> asks{kind::probe};
const std::vector<kind> votes{kind::probe, kind::cast_vote};
const std::vector<kind> dies{kind::probe, kind::cast_vote, kind::declare_dead};
const std::vector<kind> unconfirmed{kind::probe, kind::cast_vote, kind::declare_unconfirmed};

INSTANTIATE_TEST_SUITE_P(table, failure_detector_votes,
                         testing::Values(vote_case{"heard_lately", 4, 0, 1'100ms, nothing},
                                         vote_case{"one_missed", 4, 0, 1'200ms, asks},
                                         vote_case{"before_time_out", 4, 0, 2'499ms, asks},
                                         vote_case{"alone", 0, 0, 2'500ms, votes},
                                         vote_case{"two_of_five", 1, 3, 2'500ms, votes},
                                         vote_case{"three_of_five", 2, 2, 2'500ms, dies},
                                         vote_case{"all", 4, 0, 2'500ms, dies},
                                         vote_case{"vouched_for_long", 1, 1, 60s, votes},
                                         vote_case{"unvouched", 1, 0, 12'500ms, unconfirmed},
                                         vote_case{"unvouched_early", 1, 0, 12'499ms, votes}),
                         [](const auto& tested) { return tested.param.name; });

struct sign_case {
    std::string name;
    std::uint64_t incarnation;
    std::uint64_t sequence;
    bool counts;
};

class failure_detector_signs : public testing::TestWithParam<sign_case> {};

// Guards against delayed or duplicated heartbeats that prevent the detection of a dead node.
TEST_P(failure_detector_signs, of_life)
{
    failure_detector detector(self, {});
    detector.observe(six_members(), first_incarnation, 0s);
    detector.on_heartbeat(subject, base::incarnation(1), base::sequence_number(7), 1s);
    detector.on_heartbeat(subject, base::incarnation(GetParam().incarnation),
                          base::sequence_number(GetParam().sequence), 3s);
    EXPECT_EQ(detector.confirms_alive(subject, 3'500ms), GetParam().counts);
}

INSTANTIATE_TEST_SUITE_P(table, failure_detector_signs,
                         testing::Values(sign_case{"next", 1, 8, true},
                                         sign_case{"repeated", 1, 7, false},
                                         sign_case{"older", 1, 6, false},
                                         sign_case{"earlier_run", 0, 99, false},
                                         sign_case{"restarted", 2, 1, true}),
                         [](const auto& tested) { return tested.param.name; });

// Guards against votes that count although they expired, refer to an earlier incarnation or come
// from a node that is not an observer.
TEST(failure_detector, ignores_votes_that_do_not_count)
{
    failure_detector detector(self, {});
    detector.observe(six_members(), first_incarnation, 0s);
    const auto suspects = observer_verdict::suspects;
    detector.on_vote(base::node_id("o0"), subject, base::incarnation(1), suspects, 1s);
    detector.on_vote(base::node_id("stranger"), subject, base::incarnation(1), suspects, 3s);
    detector.on_vote(base::node_id("o1"), subject, base::incarnation(0), suspects, 3s);
    detector.on_vote(base::node_id("o2"), subject, base::incarnation(1), suspects, 3s);
    EXPECT_EQ(actions_on_subject(detector, 3s), votes);
}

// Guards against an observer that suspects other nodes after it was stalled itself.
TEST(active_clock, counts_a_gap_as_one_step)
{
    active_clock clock(100ms);
    const base::time_point begin{};
    clock.advance(begin + 5s);
    clock.advance(begin + 5s + 80ms);
    EXPECT_EQ(clock.elapsed(), 80ms);
    EXPECT_EQ(clock.advance(begin + 60s), 54'920ms);
    EXPECT_EQ(clock.elapsed(), 180ms);
    clock.advance(begin);
    EXPECT_EQ(clock.elapsed(), 180ms);
}

} // namespace
} // namespace damaskladder::membership
