#include "admission/tree_throttle.hpp"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace damaskladder::admission {
namespace {

const base::route_id route("r");
const base::workspace_id workspace("w");

base::time_point at_ms(std::int64_t value)
{
    return base::time_point(std::chrono::milliseconds(value));
}

tree_throttle make_throttle(tree_throttle::shedding_hook hook = {})
{
    return {{}, [random = std::mt19937_64(5)]() mutable { return random(); }, std::move(hook)};
}

struct fraction_case {
    const char* name;
    /// Reported every 100 ms from 0 to until_ms; none if negative.
    double pressure;
    int until_ms;
    int at_ms;
    double min_normal;
    double max_normal;
    double min_critical;
    double max_critical;
};

void PrintTo(const fraction_case& row, std::ostream* out)
{
    *out << row.name;
}

class shed_fraction : public testing::TestWithParam<fraction_case> {};

// Guards against shedding without need, critical requests that are shed before others, kinds that
// are shed completely, and fractions that outlive the reports.
TEST_P(shed_fraction, follows_pressure)
{
    const auto& row = GetParam();
    auto throttle = make_throttle();
    for (int ms = 0; row.pressure >= 0 && ms <= row.until_ms; ms += 100) {
        throttle.on_report(route, base::load_fraction(row.pressure), at_ms(ms));
    }
    throttle.shed(route, base::importance::normal, workspace, at_ms(row.at_ms));
    const double normal = throttle.fraction(route, base::importance::normal);
    const double low = throttle.fraction(route, base::importance::low);
    const double critical = throttle.fraction(route, base::importance::critical);
    EXPECT_GE(normal, row.min_normal);
    EXPECT_LE(normal, row.max_normal);
    EXPECT_GE(critical, row.min_critical);
    EXPECT_LE(critical, row.max_critical);
    EXPECT_GE(low, normal);
    EXPECT_LE(low, std::min(0.85, normal + 0.05));
}

INSTANTIATE_TEST_SUITE_P(
    table, shed_fraction,
    testing::Values(fraction_case{"no report", -1, 0, 5'000, 0, 0, 0, 0},
                    fraction_case{"capacity left", 0.95, 5'000, 5'000, 0, 0, 0, 0},
                    fraction_case{"small excess", 1.1, 1'000, 1'000, 0.05, 0.3, 0, 0},
                    fraction_case{"large excess at first", 4, 900, 900, 0.5, 0.85, 0, 0.05},
                    fraction_case{"large excess for long", 4, 20'000, 20'000, 0.85, 0.85, 0.5,
                                  0.85},
                    fraction_case{"reports have ended", 4, 2'000, 9'000, 0, 0, 0, 0}));

// Guards against requests that are shed in other than the stated fraction, and against a
// Retry-After that does not grow with it.
TEST(tree_throttle, sheds_the_fraction_and_states_a_time)
{
    auto throttle = make_throttle();
    for (int ms = 0; ms <= 5'000; ms += 100) {
        throttle.on_report(route, base::load_fraction(4), at_ms(ms));
    }
    int shed = 0;
    for (int n = 0; n < 2'000; ++n) {
        const base::workspace_id sender("w" + std::to_string(n % 20));
        const auto wait = throttle.shed(route, base::importance::normal, sender, at_ms(5'000));
        shed += wait ? 1 : 0;
        EXPECT_EQ(wait.value_or(std::chrono::seconds(2)), std::chrono::seconds(2));
    }
    EXPECT_NEAR(shed / 2'000.0, 0.85, 0.04);
    EXPECT_FALSE(
        throttle.shed(base::route_id("other"), base::importance::low, workspace, at_ms(5'000)));
}

// Guards against lines in the log for each request, and against an end that is not reported.
TEST(tree_throttle, reports_begin_and_end_once)
{
    std::string changes;
    auto throttle = make_throttle([&](const auto&, bool began) { changes += began ? "+" : "-"; });
    for (int ms = 0; ms <= 20'000; ms += 100) {
        throttle.on_report(route, base::load_fraction(ms < 5'000 ? 1.5 : 0.5), at_ms(ms));
    }
    EXPECT_EQ(changes, "+-");
}

// Guards against memory that grows with the number of routes.
TEST(tree_throttle, bounds_the_number_of_routes)
{
    auto throttle = make_throttle();
    for (int n = 0; n < 1'000; ++n) {
        throttle.on_report(base::route_id(std::to_string(n)), base::load_fraction(n), at_ms(0));
    }
    EXPECT_EQ(throttle.highest(1'000, at_ms(0)).size(), 256);
    EXPECT_EQ(throttle.highest(3, at_ms(0)).front().pressure, base::load_fraction(4));
}

} // namespace
} // namespace damaskladder::admission
