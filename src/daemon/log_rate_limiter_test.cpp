#include "daemon/log_rate_limiter.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace damaskladder::daemon {
namespace {

struct budget_case {
    std::string name;
    /// Times of the lines in milliseconds.
    std::vector<int> times;
    int written = 0;
    std::uint64_t suppressed = 0;
};

class budget : public testing::TestWithParam<budget_case> {};

// Guards against a log volume that grows with the load, and against suppressed lines that are not
// counted.
TEST_P(budget, bounds_lines_and_counts_the_rest)
{
    log_rate_limiter lines(2);
    int written = 0;
    for (const auto ms : GetParam().times) {
        written += lines.take(base::time_point(std::chrono::milliseconds(ms))) ? 1 : 0;
    }
    EXPECT_EQ(written, GetParam().written);
    EXPECT_EQ(lines.take_suppressed(), GetParam().suppressed);
    EXPECT_EQ(lines.take_suppressed(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    table, budget,
    testing::Values(budget_case{"few", {5000, 5010}, 2, 0},
                    budget_case{"many_in_a_second", {5000, 5010, 5020, 5030}, 2, 2},
                    budget_case{"next_second", {5000, 5010, 5020, 6001, 6002}, 4, 1}),
    [](const auto& test) { return test.param.name; });

} // namespace
} // namespace damaskladder::daemon
