#include "retry/budget.hpp"
#include "retry/decide_retry.hpp"

#include <gtest/gtest.h>

#include <random>

namespace damaskladder::retry {
namespace {

using std::chrono::milliseconds;

struct decision_case {
    const char* name;
    failed_attempt failed;
    /// Maximum backoff in milliseconds; negative if there must be no retry.
    int max_backoff_ms;
};

void PrintTo(const decision_case& row, std::ostream* out)
{
    *out << row.name;
}

class retry_decisions : public testing::TestWithParam<decision_case> {};

// Guards against retrying non-idempotent attempts that may have run, and against attempts that
// cannot finish before the deadline.
TEST_P(retry_decisions, follow_table)
{
    const auto& row = GetParam();
    retry_options options;
    options.random = [random = std::mt19937_64(5)]() mutable { return random(); };
    for (int sample = 0; sample < 100; ++sample) {
        const auto backoff = decide_retry(row.failed, options);
        ASSERT_EQ(backoff.has_value(), row.max_backoff_ms >= 0);
        if (backoff) {
            EXPECT_LE(*backoff, milliseconds(row.max_backoff_ms));
        }
    }
}

constexpr base::duration one_second = std::chrono::seconds(1);

INSTANTIATE_TEST_SUITE_P(
    table, retry_decisions,
    testing::Values(
        decision_case{"elsewhere without backoff",
                      {failure_class::not_run_elsewhere, false, true, 1, one_second, {}},
                      0},
        decision_case{"backoff after shed",
                      {failure_class::not_run_shed, false, true, 1, one_second, {}},
                      10},
        decision_case{"longer backoff after third shed",
                      {failure_class::not_run_shed, false, true, 3, one_second, {}},
                      40},
        decision_case{"backoff is bounded",
                      {failure_class::not_run_shed, false, true, 60, one_second, {}},
                      200},
        decision_case{"idempotent may run twice",
                      {failure_class::may_have_run, true, true, 1, one_second, {}},
                      10},
        decision_case{"non-idempotent must not run twice",
                      {failure_class::may_have_run, false, true, 1, one_second, {}},
                      -1},
        decision_case{"permanent", {failure_class::permanent, true, true, 1, one_second, {}}, -1},
        decision_case{"body cannot be resent",
                      {failure_class::not_run_elsewhere, true, false, 1, one_second, {}},
                      -1},
        decision_case{"no time", {failure_class::not_run_elsewhere, true, true, 1, {}, {}}, -1},
        decision_case{"too little time",
                      {failure_class::not_run_elsewhere, true, true, 1, one_second, one_second},
                      -1}));

struct budget_case {
    const char* name;
    int successes;
    std::int64_t elapsed_ms;
    int permitted;
};

void PrintTo(const budget_case& row, std::ostream* out)
{
    *out << row.name;
}

class budgets : public testing::TestWithParam<budget_case> {};

// Guards against retries that sustain an overload, and against a node without traffic that can
// never retry.
TEST_P(budgets, permit_a_fraction_of_successes)
{
    const auto& row = GetParam();
    budget retries{budget_options{}};
    for (int n = 0; n < row.successes; ++n) {
        retries.on_success(base::time_point{});
    }
    int permitted = 0;
    while (retries.try_spend(base::time_point(milliseconds(row.elapsed_ms)))) {
        ++permitted;
    }
    EXPECT_EQ(permitted, row.permitted);
}

INSTANTIATE_TEST_SUITE_P(table, budgets,
                         testing::Values(budget_case{"floor", 0, 0, 5},
                                         budget_case{"tenth and floor", 1'005, 0, 105},
                                         budget_case{"old successes decay", 1'000, 60'000, 5}));

// Guards against a minimum rate below 1 per second that never permits a retry.
TEST(budget, fractional_floor_accumulates)
{
    budget_options options;
    options.min_retries_per_second = 0.2;
    budget small_budget(options);
    int granted = 0;
    for (int elapsed = 1; elapsed <= 50; ++elapsed) {
        granted += small_budget.try_spend(base::time_point(std::chrono::seconds(elapsed))) ? 1 : 0;
    }
    EXPECT_EQ(granted, 10);
}

// Guards against a minimum rate that permits more than its burst of 5 and 5 per second.
TEST(budget, floor_refills_at_its_rate)
{
    budget retries{budget_options{}};
    int permitted = 0;
    for (std::int64_t ms = 0; ms <= 10'000; ++ms) {
        permitted += retries.try_spend(base::time_point(milliseconds(ms))) ? 1 : 0;
    }
    EXPECT_GE(permitted, 54);
    EXPECT_LE(permitted, 55);
}

} // namespace
} // namespace damaskladder::retry
