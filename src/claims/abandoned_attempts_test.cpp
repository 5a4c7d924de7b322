#include "claims/abandoned_attempts.hpp"

#include <gtest/gtest.h>

#include <string>

namespace damaskladder::claims {
namespace {

struct order_case {
    std::string name;
    bool abandoned_before_outcome;
    bool abandoned_after_outcome;
    bool outcome_concerns_nobody;
    bool release_at_once;
};

class abandon_orders : public testing::TestWithParam<order_case> {};

// Guards against a claim that stays held because its caller disconnected before the claim was
// decided.
TEST_P(abandon_orders, a_late_grant_is_recognised)
{
    const auto& expected = GetParam();
    const base::attempt_id attempt(7);
    abandoned_attempts attempts;
    attempts.on_begin(attempt);
    if (expected.abandoned_before_outcome) {
        EXPECT_TRUE(attempts.abandon(attempt));
        EXPECT_TRUE(attempts.abandon(attempt));
    }
    EXPECT_EQ(attempts.on_outcome({attempt, claim_verdict::granted, {}}),
              expected.outcome_concerns_nobody);
    if (expected.abandoned_after_outcome) {
        EXPECT_EQ(attempts.abandon(attempt), !expected.release_at_once);
    }
    EXPECT_EQ(attempts.size(), 0U);
    EXPECT_FALSE(attempts.on_outcome({attempt, claim_verdict::granted, {}}));
}

INSTANTIATE_TEST_SUITE_P(table, abandon_orders,
                         testing::Values(order_case{"kept", false, false, false, false},
                                         order_case{"left_first", true, false, true, false},
                                         order_case{"left_later", false, true, false, true}),
                         [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::claims
