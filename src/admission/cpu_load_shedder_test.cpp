#include "admission/cpu_load_shedder.hpp"

#include <gtest/gtest.h>

#include <string>

namespace damaskladder::admission {
namespace {

using std::chrono::milliseconds;

struct load_case {
    std::string name;
    /// Demand of the least important and of the critical requests, as fractions of the CPU
    /// capacity.
    double low = 0;
    double critical = 0;
    /// Bounds of the fraction shed after 10 s.
    double min_low_fraction = 0;
    double max_low_fraction = 0;
    double max_critical_fraction = 0;
};

class cpu_load : public testing::TestWithParam<load_case> {};

/// Fraction of the requests of a level that is shed.
double shed_fraction_of(const cpu_load_shedder& shedder, base::importance level)
{
    int shed = 0;
    for (int i = 0; i < 1000; ++i) {
        shed += shedder.should_shed(level, i / 1000.0) ? 1 : 0;
    }
    return shed / 1000.0;
}

// Guards against a surge that saturates the CPU, after which every admitted request finishes late,
// and against shedding without overload.
TEST_P(cpu_load, is_reduced_to_capacity)
{
    const auto& row = GetParam();
    cpu_load_shedder shedder({});
    for (int ms = 0; ms < 10'000; ms += 10) {
        const double admitted =
            row.low * (1 - shed_fraction_of(shedder, base::importance::low)) +
            row.critical * (1 - shed_fraction_of(shedder, base::importance::critical));
        const auto busy = milliseconds(static_cast<int>(std::min(10.0, 10 * admitted)));
        shedder.record(busy, milliseconds(10) - busy, base::time_point(milliseconds(ms)));
    }
    const double low = shed_fraction_of(shedder, base::importance::low);
    EXPECT_GE(low, row.min_low_fraction);
    EXPECT_LE(low, row.max_low_fraction);
    EXPECT_LE(shed_fraction_of(shedder, base::importance::critical), row.max_critical_fraction);
}

INSTANTIATE_TEST_SUITE_P(table, cpu_load,
                         testing::Values(load_case{"light", 0.4, 0.2, 0, 0, 0},
                                         load_case{"nearly_full", 0.6, 0.3, 0, 0.05, 0},
                                         load_case{"surge_of_low", 1.2, 0.3, 0.3, 0.6, 0.05},
                                         load_case{"three_times", 2, 1, 0.7, 0.9, 0.8}),
                         [](const auto& test) { return test.param.name; });

// Guards against shedding that continues after the surge.
TEST(cpu_load_shedder, stops_shedding_after_surge)
{
    cpu_load_shedder shedder({});
    for (int ms = 0; ms < 5'000; ms += 100) {
        shedder.record(milliseconds(100), milliseconds(0), base::time_point(milliseconds(ms)));
    }
    EXPECT_GT(shedder.shed_fraction(), 0.8);
    for (int ms = 5'000; ms < 8'000; ms += 100) {
        shedder.record(milliseconds(50), milliseconds(50), base::time_point(milliseconds(ms)));
    }
    EXPECT_EQ(shedder.shed_fraction(), 0);
}

} // namespace
} // namespace damaskladder::admission
