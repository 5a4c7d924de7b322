#include "admission/pressure_meter.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace damaskladder::admission {
namespace {

struct meter_sample {
    int ms;
    double value;
};

struct pressure_case {
    const char* name;
    bool fades;
    std::vector<meter_sample> samples;
    int at_ms;
    double value;
};

void PrintTo(const pressure_case& row, std::ostream* out)
{
    *out << row.name;
}

class smoothed_pressure : public testing::TestWithParam<pressure_case> {};

// Guards against pressure that follows single bursts, that outlives its reports, or that a false
// report sets to any height.
TEST_P(smoothed_pressure, follows_the_samples_over_time)
{
    const auto& row = GetParam();
    const auto at = [](int ms) { return base::time_point(std::chrono::milliseconds(ms)); };
    pressure_meter_options options;
    if (row.fades) {
        options.valid_for = std::chrono::seconds(2);
    }
    pressure_meter meter(options);
    for (const auto& sample : row.samples) {
        meter.record(base::load_fraction(sample.value), at(sample.ms));
    }
    EXPECT_NEAR(meter.value(at(row.at_ms)).value(), row.value, 0.01);
}

INSTANTIATE_TEST_SUITE_P(
    table, smoothed_pressure,
    testing::Values(pressure_case{"no sample", false, {}, 1'000, 0},
                    pressure_case{"first sample", false, {{0, 0.5}}, 0, 0.5},
                    pressure_case{"one time constant", false, {{0, 0}, {0, 1}}, 150, 0.632},
                    pressure_case{"short burst", false, {{0, 0}, {500, 4}, {505, 0}}, 510, 0.126},
                    pressure_case{"no decay with age", false, {{0, 0.5}}, 60'000, 0.5},
                    pressure_case{"report still valid", true, {{0, 0.5}}, 2'000, 0.5},
                    pressure_case{"report half faded", true, {{0, 0.5}}, 3'000, 0.25},
                    pressure_case{"report faded", true, {{0, 0.5}}, 5'000, 0},
                    pressure_case{"false report", true, {{0, 1e9}}, 0, 4},
                    pressure_case{"negative report", true, {{0, -1}}, 0, 0}));

} // namespace
} // namespace damaskladder::admission
