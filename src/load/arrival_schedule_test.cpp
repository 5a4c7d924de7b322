#include "load/arrival_schedule.hpp"
#include "load/planned_requests.hpp"

#include <gtest/gtest.h>

#include <cmath>

namespace damaskladder::load {
namespace {

using std::chrono::seconds;

surge_settings surge(const char* stream, int start, int length, double factor)
{
    return {cause_name("surges/x"), stream_name(stream), seconds(start), seconds(length),
            rate_factor(factor)};
}

experiment plan_of(double rate, std::vector<surge_settings> surges)
{
    experiment plan;
    plan.seed = 11;
    plan.duration = seconds(100);
    plan.surges = std::move(surges);
    for (const char* name : {"a", "b"}) {
        auto& stream = plan.streams.emplace_back();
        stream.name = stream_name(name);
        stream.rate = request_rate(rate);
    }
    return plan;
}

std::vector<arrival> all(const experiment& plan)
{
    std::vector<arrival> taken;
    arrival_schedule schedule(plan);
    while (const auto next = schedule.take()) {
        taken.push_back(*next);
    }
    return taken;
}

struct rate_case {
    const char* name;
    std::vector<surge_settings> surges;
    /// Observed period, and the expected number of requests of stream a in it.
    int from_s;
    int to_s;
    double expected;
};

class schedule_rate : public testing::TestWithParam<rate_case> {};

// Guards against surges applied at the wrong time, to the wrong stream or with the wrong factor.
// The seed is fixed; the tolerance is five standard deviations of a Poisson count.
TEST_P(schedule_rate, follows_the_settings)
{
    const auto& wanted = GetParam();
    double count = 0;
    run_offset last{0};
    for (const auto& next : all(plan_of(50, wanted.surges))) {
        EXPECT_LE(last, next.due);
        last = next.due;
        const bool inside = next.due >= seconds(wanted.from_s) && next.due < seconds(wanted.to_s);
        count += inside && next.stream == stream_index(0) ? 1 : 0;
    }
    EXPECT_LT(last, seconds(100));
    EXPECT_LE(std::abs(count - wanted.expected), 5 * std::sqrt(wanted.expected));
}

INSTANTIATE_TEST_SUITE_P(
    table, schedule_rate,
    testing::Values(
        rate_case{"steady", {}, 0, 100, 5000},
        rate_case{"before_surge", {surge("a", 20, 10, 4)}, 0, 20, 1000},
        rate_case{"in_surge", {surge("a", 20, 10, 4)}, 20, 30, 2000},
        rate_case{"after_surge", {surge("a", 20, 10, 4)}, 30, 100, 3500},
        rate_case{"surge_of_another_stream", {surge("b", 20, 10, 4)}, 20, 30, 500},
        rate_case{"pause", {surge("a", 20, 10, 0)}, 20, 30, 0},
        rate_case{
            "overlapping_surges", {surge("a", 20, 10, 2), surge("a", 25, 10, 3)}, 25, 30, 1500},
        rate_case{"surge_from_the_start", {surge("a", 0, 10, 2)}, 0, 10, 1000},
        rate_case{"surge_to_the_end", {surge("a", 90, 10, 2)}, 90, 100, 1000}),
    [](const auto& tested) { return std::string(tested.param.name); });

// Guards against gaps that are not exponentially distributed; evenly spaced requests, for example,
// would hide queueing.
TEST(arrival_schedule, gaps_are_exponential)
{
    std::vector<double> gaps;
    run_offset last{0};
    for (const auto& next : all(plan_of(200, {}))) {
        if (next.stream == stream_index(0)) {
            gaps.push_back(std::chrono::duration<double>(next.due - last).count());
            last = next.due;
        }
    }
    double mean = 0;
    double square = 0;
    for (const double gap : gaps) {
        mean += gap / static_cast<double>(gaps.size());
        square += gap * gap / static_cast<double>(gaps.size());
    }
    EXPECT_NEAR(mean, 0.005, 0.0002);
    // The standard deviation of an exponential distribution equals its mean.
    EXPECT_NEAR(std::sqrt(square - mean * mean) / mean, 1, 0.05);
}

// Guards against a schedule that is not determined by the experiment alone, and against streams
// that affect each other.
TEST(arrival_schedule, seed_decides_and_streams_are_independent)
{
    const auto plan = plan_of(50, {});
    EXPECT_EQ(all(plan), all(plan));
    auto reseeded = plan;
    reseeded.seed = 12;
    EXPECT_NE(all(plan), all(reseeded));
    const auto only_b = [](std::vector<arrival> from) {
        std::erase_if(from, [](const arrival& one) { return one.stream == stream_index(0); });
        return from;
    };
    EXPECT_EQ(only_b(all(plan)), only_b(all(plan_of(50, {surge("a", 0, 50, 3)}))));
}

// Guards against an attempt limit that ignores surges or retries.
TEST(planned_attempts, counts_surges_and_retries)
{
    auto plan = plan_of(50, {surge("a", 20, 10, 4)});
    plan.streams[1].retries = 2;
    EXPECT_NEAR(planned_attempts(plan), 5000 + 1500 + 3 * 5000, 1e-6);
}

} // namespace
} // namespace damaskladder::load
