#include "admission/processor_guard.hpp"

#include <gtest/gtest.h>

#include <string>

namespace damaskladder::admission {
namespace {

using std::chrono::milliseconds;

struct load_case {
    std::string name;
    /// Demand of the least important requests and of the critical ones, as parts of what the
    /// processor can serve.
    double low = 0;
    double critical = 0;
    /// Bounds of the part shed after ten seconds.
    double low_least = 0;
    double low_most = 0;
    double critical_most = 0;
};

class processor_load : public testing::TestWithParam<load_case> {};

/// Part of a level that is shed.
double part_of(const processor_guard& guard, base::importance level)
{
    int shed = 0;
    for (int i = 0; i < 1000; ++i) {
        shed += guard.sheds(level, i / 1000.0) ? 1 : 0;
    }
    return shed / 1000.0;
}

// Guards against a surge that uses up the processor: everything admitted ends late, and refusing
// without need.
TEST_P(processor_load, is_brought_down_to_what_can_be_served)
{
    const auto& row = GetParam();
    processor_guard guard({});
    for (int ms = 0; ms < 10'000; ms += 10) {
        const double admitted = row.low * (1 - part_of(guard, base::importance::low)) +
                                row.critical * (1 - part_of(guard, base::importance::critical));
        const auto busy = milliseconds(static_cast<int>(std::min(10.0, 10 * admitted)));
        guard.observed(busy, milliseconds(10) - busy, base::time_point(milliseconds(ms)));
    }
    const double low = part_of(guard, base::importance::low);
    EXPECT_GE(low, row.low_least);
    EXPECT_LE(low, row.low_most);
    EXPECT_LE(part_of(guard, base::importance::critical), row.critical_most);
}

INSTANTIATE_TEST_SUITE_P(table, processor_load,
                         testing::Values(load_case{"light", 0.4, 0.2, 0, 0, 0},
                                         load_case{"nearly_full", 0.6, 0.3, 0, 0.05, 0},
                                         load_case{"surge_of_low", 1.2, 0.3, 0.3, 0.6, 0.05},
                                         load_case{"three_times", 2, 1, 0.7, 0.9, 0.8}),
                         [](const auto& test) { return test.param.name; });

// Guards against a guard that goes on shedding after the surge.
TEST(processor_guard, ends_with_the_surge)
{
    processor_guard guard({});
    for (int ms = 0; ms < 5'000; ms += 100) {
        guard.observed(milliseconds(100), milliseconds(0), base::time_point(milliseconds(ms)));
    }
    EXPECT_GT(guard.shed_part(), 0.8);
    for (int ms = 5'000; ms < 8'000; ms += 100) {
        guard.observed(milliseconds(50), milliseconds(50), base::time_point(milliseconds(ms)));
    }
    EXPECT_EQ(guard.shed_part(), 0);
}

} // namespace
} // namespace damaskladder::admission
