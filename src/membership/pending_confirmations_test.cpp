#include "membership/pending_confirmations.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>

namespace damaskladder::membership {
namespace {

using namespace std::chrono_literals;

struct answer_case {
    std::string name;
    std::uint64_t confirmed;
    base::duration at;
    std::optional<announce_verdict> expected;
};

class waiting_answers : public testing::TestWithParam<answer_case> {};

// Guards against a confirmation that is given before other nodes keep what it says, or never.
TEST_P(waiting_answers, are_given_when_the_list_is_held_or_the_time_is_over)
{
    pending_confirmations pending(800ms);
    std::optional<announce_verdict> given;
    pending.add(
        endings_number(5), [&](announce_verdict verdict) { given = verdict; },
        base::time_point(1s));
    pending.resolve(endings_number(GetParam().confirmed), base::time_point(GetParam().at));
    EXPECT_EQ(given, GetParam().expected);
    given.reset();
    pending.resolve(endings_number(9), base::time_point(10s));
    EXPECT_EQ(given.has_value(), !GetParam().expected.has_value());
}

INSTANTIATE_TEST_SUITE_P(
    table, waiting_answers,
    testing::Values(answer_case{"not_held", 4, 1799ms, std::nullopt},
                    answer_case{"held", 5, 1001ms, announce_verdict::accepted},
                    answer_case{"later_list_held", 6, 1001ms, announce_verdict::accepted},
                    answer_case{"not_held_in_time", 4, 1800ms, announce_verdict::unconfirmed},
                    answer_case{"held_late", 5, 1900ms, announce_verdict::accepted}),
    [](const auto& test) { return test.param.name; });

} // namespace
} // namespace damaskladder::membership
