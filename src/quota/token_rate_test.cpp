#include "quota/domain_share.hpp"
#include "quota/share_history.hpp"
#include "quota/token_accrual.hpp"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace damaskladder::quota {
namespace {

using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::seconds;

struct amount_case {
    std::string name;
    token_rate rate;
    base::duration length;
    tokens expected;
};

class token_amounts : public testing::TestWithParam<amount_case> {};

// Guards against overflow and against rounding up.
TEST_P(token_amounts, are_exact_or_cut_to_the_limit)
{
    EXPECT_EQ(tokens_in(GetParam().rate, GetParam().length), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    table, token_amounts,
    testing::Values(amount_case{"one_second", token_rate(5), seconds(1), tokens(5)},
                    amount_case{"rounds_down", token_rate(999'999), microseconds(1), tokens(0)},
                    amount_case{"negative_time", token_rate(5'000'000), seconds(-1), tokens(0)},
                    amount_case{"negative_rate", token_rate(-5), seconds(1), tokens(0)},
                    amount_case{"long_time", max_token_rate, hours(1'000'000), max_tokens},
                    amount_case{"large_rate", token_rate(INT64_MAX), seconds(1), max_tokens}),
    [](const auto& param) { return param.param.name; });

// Guards against losing fractions between calls: 1,000 seeded schedules with random step lengths.
TEST(token_accrual, odd_steps_add_up_to_the_whole)
{
    for (std::uint64_t seed = 0; seed < 1'000; ++seed) {
        std::mt19937_64 random(seed);
        const token_rate rate(static_cast<std::int64_t>(random() % 1'000'000'000));
        token_accrual accrual{base::time_point{}};
        accrual.set_rate(rate);
        base::duration passed{};
        tokens sum(0);
        for (int i = 0; i < 50; ++i) {
            passed += microseconds(random() % 100'000);
            sum += accrual.advance(base::time_point(passed));
            accrual.advance(base::time_point(passed - microseconds(random() % 1'000)));
        }
        ASSERT_EQ(sum, tokens_in(rate, passed)) << "seed " << seed;
    }
}

// Guards against rounding that makes the parts of the domains add up to less or more than the
// burst.
TEST(domain_share, parts_add_up_exactly)
{
    std::mt19937_64 random(1);
    for (int i = 0; i < 1'000; ++i) {
        const share_point a(static_cast<std::int64_t>(random() % 500'000));
        const share_point b(a.value() + static_cast<std::int64_t>(random() % 500'000));
        const tokens burst(static_cast<std::int64_t>(random()) & 0xffffffffff);
        const auto sum = domain_share{share_point(0), a}.of(burst) + domain_share{a, b}.of(burst) +
                         domain_share{b, share_point(1'000'000)}.of(burst);
        ASSERT_EQ(sum, std::min(burst, max_tokens));
    }
}

struct share_step {
    int at_s;
    std::int64_t begin;
    std::int64_t end;
};

struct share_case {
    std::string name;
    std::vector<share_step> steps;
    int check_at_s;
    std::int64_t expected;
};

class share_changes : public testing::TestWithParam<share_case> {};

// Guards against a domain that uses a larger share before the others use a smaller one.
TEST_P(share_changes, decrease_at_once_and_increase_later)
{
    share_history shares{seconds(10)};
    for (const auto& step : GetParam().steps) {
        const domain_share share{share_point(step.begin), share_point(step.end)};
        shares.change(share, base::time_point(seconds(step.at_s)));
    }
    shares.remove_expired(base::time_point(seconds(GetParam().check_at_s)));
    EXPECT_EQ(shares.of(tokens(1'000'000)), tokens(GetParam().expected));
    EXPECT_EQ(shares.of(token_rate(1'000'000)), token_rate(GetParam().expected));
}

INSTANTIATE_TEST_SUITE_P(
    table, share_changes,
    testing::Values(share_case{"first", {{0, 0, 300}}, 0, 300},
                    share_case{"decrease", {{0, 0, 300}, {1, 0, 200}}, 1, 200},
                    share_case{"increase_early", {{0, 0, 300}, {1, 0, 400}}, 10, 300},
                    share_case{"increase_in_time", {{0, 0, 300}, {1, 0, 400}}, 11, 400},
                    share_case{"moved_place", {{0, 0, 300}, {1, 700, 1'000}}, 1, 300},
                    share_case{"down_and_up", {{0, 0, 300}, {1, 0, 100}, {2, 0, 300}}, 11, 100},
                    share_case{"up_after_all", {{0, 0, 300}, {1, 0, 100}, {2, 0, 300}}, 12, 300}),
    [](const auto& param) { return param.param.name; });

} // namespace
} // namespace damaskladder::quota
