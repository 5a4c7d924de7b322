#include "admission/entry_throttle.hpp"
#include "admission/shed_meter.hpp"

#include <gtest/gtest.h>

#include <random>

namespace damaskladder::admission {
namespace {

using std::chrono::milliseconds;

const base::node_id gatekeeper("g1");

base::time_point at_ms(std::int64_t value)
{
    return base::time_point(milliseconds(value));
}

base::random_source seeded(std::uint64_t seed)
{
    return [random = std::mt19937_64(seed)]() mutable { return random(); };
}

struct throttle_case {
    const char* name;
    std::optional<base::importance> reported;
    base::importance level;
    std::int64_t age_ms;
    /// Bounds of the fraction of 2,000 requests that is refused.
    double min_fraction;
    double max_fraction;
};

void PrintTo(const throttle_case& row, std::ostream* out)
{
    *out << row.name;
}

class refused_fraction : public testing::TestWithParam<throttle_case> {};

// Guards against throttling that never ends, that blocks the probes, or that refuses more important
// requests.
TEST_P(refused_fraction, follows_level_and_age)
{
    const auto& row = GetParam();
    int refused = 0;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        entry_throttle throttle({}, seeded(seed));
        throttle.on_report(gatekeeper, row.reported, at_ms(0));
        for (int n = 0; n < 100; ++n) {
            refused += throttle.should_refuse(gatekeeper, row.level, at_ms(row.age_ms)) ? 1 : 0;
        }
    }
    EXPECT_GE(refused / 2'000.0, row.min_fraction);
    EXPECT_LE(refused / 2'000.0, row.max_fraction);
}

constexpr auto low = base::importance::low;
constexpr auto normal = base::importance::normal;

INSTANTIATE_TEST_SUITE_P(
    table, refused_fraction,
    testing::Values(throttle_case{"no report", std::nullopt, low, 0, 0, 0},
                    throttle_case{"fresh", low, low, 10, 0.95, 0.995},
                    throttle_case{"fresh, less important", normal, low, 10, 0.95, 0.995},
                    throttle_case{"fresh, more important", low, normal, 10, 0, 0},
                    throttle_case{"half of the ramp", low, low, 600, 0.2, 0.8},
                    throttle_case{"faded", low, low, 1'300, 0, 0}));

// Guards against refused load that returns all at once: the refused fraction over all entry nodes
// must fall in small steps.
TEST(entry_throttle, refused_load_returns_gradually)
{
    double previous = 1;
    for (std::int64_t age = 0; age <= 1'300; age += 50) {
        int refused = 0;
        for (std::uint64_t seed = 0; seed < 200; ++seed) {
            entry_throttle throttle({}, seeded(seed));
            throttle.on_report(gatekeeper, low, at_ms(0));
            for (int n = 0; n < 20; ++n) {
                refused += throttle.should_refuse(gatekeeper, low, at_ms(age)) ? 1 : 0;
            }
        }
        const double fraction = refused / 4'000.0;
        EXPECT_GT(fraction, previous - 0.2) << "at " << age << " ms";
        previous = fraction;
    }
    EXPECT_EQ(previous, 0);
}

struct meter_case {
    const char* name;
    int started;
    int shed;
    std::int64_t age_ms;
    std::optional<base::importance> level;
};

void PrintTo(const meter_case& row, std::ostream* out)
{
    *out << row.name;
}

class reported_level : public testing::TestWithParam<meter_case> {};

// Guards against reporting a level that is shed only partially, since throttling it would leave
// slots idle.
TEST_P(reported_level, is_highest_level_shed_almost_fully)
{
    const auto& row = GetParam();
    shed_meter meter;
    for (int n = 0; n < row.started; ++n) {
        meter.started(low, at_ms(0));
    }
    for (int n = 0; n < row.shed; ++n) {
        meter.shed(low, at_ms(0));
    }
    EXPECT_EQ(meter.level(at_ms(row.age_ms)), row.level);
}

INSTANTIATE_TEST_SUITE_P(table, reported_level,
                         testing::Values(meter_case{"quiet", 0, 0, 0, std::nullopt},
                                         meter_case{"all shed", 0, 10, 0, low},
                                         meter_case{"one burst", 0, 1, 0, std::nullopt},
                                         meter_case{"shed in part", 10, 100, 0, std::nullopt},
                                         meter_case{"nearly all shed", 1, 100, 0, low},
                                         meter_case{"over", 0, 10, 400, std::nullopt}));

} // namespace
} // namespace damaskladder::admission
