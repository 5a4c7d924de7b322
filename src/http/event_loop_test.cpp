#include "http/event_loop.hpp"

#include <gtest/gtest.h>

#include <string>

namespace damaskladder::http {
namespace {

struct round_case {
    std::string name;
    bool requests_round;
    /// Rounds counted by the first handler when the timer fires.
    int rounds_before_timer;
};

class requested_rounds : public testing::TestWithParam<round_case> {};

// Guards against work that is added after the responsible round handler has run and then waits for
// the loop's next deadline: requests sent from a server handler were delayed by up to 10 ms.
TEST_P(requested_rounds, run_before_the_loop_waits)
{
    event_loop loop;
    int rounds = 0;
    int rounds_at_timer = 0;
    loop.each_round([&](base::time_point) -> std::optional<base::time_point> {
        ++rounds;
        return std::nullopt;
    });
    loop.each_round(
        [&, asked = false](base::time_point) mutable -> std::optional<base::time_point> {
            if (GetParam().requests_round && !asked) {
                asked = true;
                loop.request_round();
            }
            return std::nullopt;
        });
    loop.call_at(event_loop::now() + std::chrono::milliseconds(200), [&] {
        rounds_at_timer = rounds;
        loop.stop();
    });
    loop.run();
    EXPECT_EQ(rounds_at_timer, GetParam().rounds_before_timer);
}

INSTANTIATE_TEST_SUITE_P(table, requested_rounds,
                         testing::Values(round_case{"none", false, 1}, round_case{"one", true, 2}),
                         [](const auto& tested) { return tested.param.name; });

struct multiple_case {
    std::string name;
    /// Since an earlier multiple of 100 ms, the period of the call.
    base::duration passed;
    base::duration wait;
};

class periodic_calls : public testing::TestWithParam<multiple_case> {};

// Guards against an idle process that wakes once for each of its periodic calls.
TEST_P(periodic_calls, share_their_wake_ups)
{
    constexpr base::duration period = std::chrono::milliseconds(100);
    constexpr base::duration longer_period = std::chrono::milliseconds(300);
    const event_loop loop;
    const auto start = loop.next_multiple(longer_period, event_loop::now());
    const auto now = start + GetParam().passed;
    EXPECT_EQ(loop.next_multiple(period, now) - now, GetParam().wait);
    EXPECT_EQ((loop.next_multiple(longer_period, now) - loop.next_multiple(period, now)) % period,
              base::duration::zero());
}

INSTANTIATE_TEST_SUITE_P(
    table, periodic_calls,
    testing::Values(
        multiple_case{"at_a_multiple", std::chrono::milliseconds(0),
                      std::chrono::milliseconds(100)},
        multiple_case{"between", std::chrono::milliseconds(130), std::chrono::milliseconds(70)},
        multiple_case{"just_before", std::chrono::milliseconds(199), std::chrono::milliseconds(1)}),
    [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::http
