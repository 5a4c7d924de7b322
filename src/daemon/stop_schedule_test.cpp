#include "daemon/stop_schedule.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace damaskladder::daemon {
namespace {

using namespace std::chrono_literals;

struct exit_case {
    std::string name;
    base::duration limit;
    bool keeps_serving;
    /// When the last answer has been sent.
    std::optional<base::duration> answers_sent;
    /// When the stop is ended by a second signal.
    std::optional<base::duration> ended;
    base::duration expected_exit;
};

class stop_exits : public testing::TestWithParam<exit_case> {};

// Guards against answers that are cut although their callers would have had them before the
// process is killed, and against an exit without time for the last messages.
TEST_P(stop_exits, come_as_late_as_the_answers_need)
{
    const auto& tested = GetParam();
    const base::time_point start(100s);
    stop_schedule schedule(start, tested.limit, tested.keeps_serving);
    base::duration passed{};
    while (passed < 60s && !schedule.exit_due(start + passed)) {
        passed += 10ms;
        if (tested.answers_sent && passed >= *tested.answers_sent) {
            schedule.answers_sent(start + passed);
        }
        if (tested.ended && passed >= *tested.ended) {
            schedule.end(start + passed);
        }
    }
    EXPECT_EQ(passed, tested.expected_exit);
}

INSTANTIATE_TEST_SUITE_P(
    table, stop_exits,
    testing::Values(exit_case{"no_request", 6s, true, 4700ms, {}, 5200ms},
                    exit_case{"answer_before_the_serving_limit", 6s, true, 5s, {}, 5500ms},
                    exit_case{"answer_read_slowly", 6s, true, 5700ms, {}, 5900ms},
                    exit_case{"answer_that_does_not_end", 6s, true, {}, {}, 5900ms},
                    exit_case{"second_signal", 6s, true, {}, 3s, 3s},
                    exit_case{"short_limit", 100ms, true, {}, {}, 50ms},
                    exit_case{"not_serving_and_idle", 30s, false, 2500ms, {}, 3s},
                    exit_case{"not_serving_with_an_answer", 30s, false, 20s, {}, 20500ms},
                    exit_case{"not_serving_and_no_end", 30s, false, {}, {}, 30s}),
    [](const auto& tested) { return tested.param.name; });

struct step_case {
    std::string name;
    base::duration limit;
    bool keeps_serving;
    base::duration leave, stop_accepting, serving_end, stop_traffic;
};

class stop_steps : public testing::TestWithParam<step_case> {};

// Guards against requests that are accepted when their answers can no longer be sent.
TEST_P(stop_steps, come_in_their_order)
{
    const auto& tested = GetParam();
    const base::time_point start(100s);
    const stop_schedule schedule(start, tested.limit, tested.keeps_serving);
    EXPECT_EQ(schedule.leave_at() - start, tested.leave);
    EXPECT_EQ(schedule.stop_accepting_at() - start, tested.stop_accepting);
    EXPECT_EQ(schedule.serving_end() - start, tested.serving_end);
    EXPECT_EQ(schedule.stop_traffic_at() - start, tested.stop_traffic);
}

INSTANTIATE_TEST_SUITE_P(
    table, stop_steps,
    testing::Values(step_case{"serving", 6s, true, 2500ms, 2800ms, 5100ms, 4700ms},
                    step_case{"not_serving", 30s, false, 2500ms, 2800ms, 29900ms, 2500ms},
                    step_case{"not_serving_short", 2s, false, 1s, 1300ms, 1900ms, 1s}),
    [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::daemon
