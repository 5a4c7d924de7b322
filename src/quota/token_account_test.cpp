#include "quota/token_account.hpp"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace damaskladder::quota {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t rate = 100;
constexpr std::int64_t burst = 10;

token_account full_account()
{
    token_account account{base::time_point{}};
    account.set_limits(token_rate(rate * one_token.value()), one_token * burst);
    account.advance(base::time_point(milliseconds(1'000)));
    return account;
}

base::time_point at(int ms)
{
    return base::time_point(milliseconds(ms));
}

/// Ten tokens are lent at 1,000 ms. `used` of them are used at 1,000 ms, which is reported later,
/// and `refunded` of those are refunded later.
struct account_case {
    std::string name;
    int used;
    int reported_at;
    int refunded;
    int refunded_at;
    int check_at;
    int expected;
};

class late_reports : public testing::TestWithParam<account_case> {};

TEST_P(late_reports, counts_as_if_known_at_once)
{
    const auto& param = GetParam();
    auto account = full_account();
    account.debit(one_token * burst);
    account.advance(at(param.reported_at));
    account.record_use(one_token * param.used, at(1'000));
    if (param.refunded > 0) {
        account.advance(at(param.refunded_at));
        account.refund(one_token * param.refunded, at(1'000));
    }
    account.advance(at(param.check_at));
    // Accrual within the millisecond of the use is not credited.
    const auto least = one_token * param.expected - tokens(rate * one_token.value() / 1'000);
    EXPECT_LE(account.balance(), one_token * param.expected);
    EXPECT_GE(account.balance(), least);
}

INSTANTIATE_TEST_SUITE_P(
    table, late_reports,
    testing::Values(account_case{"nothing_used", 0, 1'100, 0, 0, 1'100, 0},
                    // Guards against losing accrual because use is reported late.
                    account_case{"use_reported_late", 10, 1'060, 0, 0, 1'060, 6},
                    account_case{"no_more_than_used", 3, 1'060, 0, 0, 1'060, 3},
                    account_case{"too_late_for_the_ledger", 10, 1'600, 0, 0, 1'600, 10},
                    // Guards against a refund that exceeds the bound of a bucket that has filled up
                    // since.
                    account_case{"refund_with_room", 10, 1'001, 4, 1'030, 1'030, 7},
                    account_case{"refund_after_filling", 10, 1'001, 4, 1'100, 1'100, 10},
                    account_case{"refund_partly", 10, 1'001, 4, 1'080, 1'080, 10},
                    account_case{"refund_too_late", 10, 1'001, 4, 1'700, 1'700, 10}),
    [](const auto& param) { return param.param.name; });

// Guards against late reports that credit more than the same reports would without delay. Compares
// 2,000 seeded schedules with a slow reference account that gets every report at once.
TEST(token_account, never_above_account_that_knows_at_once)
{
    for (std::uint64_t seed = 0; seed < 2'000; ++seed) {
        std::mt19937_64 random(seed);
        auto late = full_account();
        auto prompt = full_account();
        struct use {
            std::int64_t amount;
            int used_at;
            int reported_at;
        };
        std::vector<use> pending;
        for (int ms = 1'000; ms < 2'000; ++ms) {
            late.advance(at(ms));
            prompt.advance(at(ms));
            std::erase_if(pending, [&](const use& u) {
                if (u.reported_at > ms) {
                    return false;
                }
                late.record_use(one_token * u.amount, at(u.used_at));
                return true;
            });
            if (random() % 30 == 0 && late.balance() >= one_token) {
                const auto held = whole(late.balance()).value() / one_token.value();
                const auto amount = 1 + static_cast<std::int64_t>(random() % held);
                late.debit(one_token * amount);
                prompt.debit(one_token * amount);
                prompt.record_use(one_token * amount, at(ms));
                pending.push_back({amount, ms, ms + static_cast<int>(random() % 300)});
            }
            ASSERT_LE(late.balance(), prompt.balance()) << "seed " << seed << " at " << ms;
        }
        late.advance(at(2'400));
        prompt.advance(at(2'400));
        for (const auto& u : pending) {
            late.record_use(one_token * u.amount, at(u.used_at));
        }
        ASSERT_LE(late.balance(), prompt.balance()) << "seed " << seed;
    }
}

// Guards against a balance that stays above a lowered burst.
TEST(token_account, lower_bound_counts_at_once)
{
    auto account = full_account();
    account.debit(one_token * 4);
    account.set_limits(token_rate(one_token.value()), one_token * 5);
    EXPECT_EQ(account.balance(), one_token);
    account.set_limits(token_rate(one_token.value()), one_token * 2);
    EXPECT_EQ(account.balance(), tokens(0));
    account.record_use(one_token * 4, at(1'000));
    account.advance(at(1'500));
    EXPECT_EQ(account.balance(), tokens(one_token.value() / 2));
}

} // namespace
} // namespace damaskladder::quota
