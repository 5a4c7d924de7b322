#include "routing/pick_by_completion.hpp"
#include "routing/run_time_average.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace damaskladder::routing {
namespace {

using std::chrono::milliseconds;

struct slowdown_case {
    const char* name;
    double relative_load;
    double slowdown;
};

void PrintTo(const slowdown_case& row, std::ostream* out)
{
    *out << row.name;
}

class slowdowns : public testing::TestWithParam<slowdown_case> {};

// Guards against a server beyond its limit that looks as fast as an idle one.
TEST_P(slowdowns, grow_with_load)
{
    const completion_estimate estimate{milliseconds(100), 50, GetParam().relative_load};
    EXPECT_NEAR(estimate.slowdown(), GetParam().slowdown, 1e-9);
    EXPECT_EQ(estimate.completion(), milliseconds(std::llround(GetParam().slowdown * 100)));
}

INSTANTIATE_TEST_SUITE_P(table, slowdowns,
                         testing::Values(slowdown_case{"idle", 0.02, 1},
                                         slowdown_case{"below ramp", 0.7, 1},
                                         slowdown_case{"middle of ramp", 0.825, 1.15},
                                         slowdown_case{"at knee", 0.95, 1.3},
                                         slowdown_case{"full", 1, 1.3},
                                         slowdown_case{"twice the limit", 2, 2.6}));

struct pick_case {
    const char* name;
    std::vector<completion_estimate> servers;
    /// Expected part of the picks for each server.
    std::vector<double> parts;
};

void PrintTo(const pick_case& row, std::ostream* out)
{
    *out << row.name;
}

class picks : public testing::TestWithParam<pick_case> {};

completion_estimate server_of(std::int64_t run_time_ms, double capacity, double relative_load)
{
    return {milliseconds(run_time_ms), capacity, relative_load};
}

// Guards against equal numbers of calls for servers of different speed, and against calls to a
// server that is more loaded than another one that was drawn.
TEST_P(picks, follow_throughput_and_load)
{
    const base::random_source random = [r = std::mt19937_64(1)]() mutable { return r(); };
    constexpr int count = 20'000;
    std::vector<double> parts(GetParam().servers.size());
    for (int n = 0; n < count; ++n) {
        parts.at(pick_by_completion(GetParam().servers, random)) += 1.0 / count;
    }
    for (std::size_t i = 0; i < parts.size(); ++i) {
        EXPECT_NEAR(parts[i], GetParam().parts[i], 0.02) << i;
    }
}

INSTANTIATE_TEST_SUITE_P(
    table, picks,
    testing::Values(
        pick_case{"one", {server_of(100, 50, 2)}, {1}},
        pick_case{"speeds", {server_of(300, 50, 0.5), server_of(100, 50, 0.5)}, {0.25, 0.75}},
        pick_case{"capacities", {server_of(100, 10, 0.5), server_of(100, 40, 0.5)}, {0.2, 0.8}},
        pick_case{"load of two", {server_of(100, 50, 0.9), server_of(300, 50, 0.5)}, {0, 1}},
        pick_case{"one hangs",
                  {server_of(100, 50, 2), server_of(100, 50, 0.5), server_of(100, 50, 0.5)},
                  {0, 0.5, 0.5}},
        pick_case{
            "unknown run times", {server_of(0, 50, 0.5), server_of(0, 50, 0.5)}, {0.5, 0.5}}));

struct average_case {
    const char* name;
    /// Run time of the calls that end every millisecond in the 600 ms before the average is read;
    /// those of the second before take 100 ms.
    std::int64_t recent_ms;
    std::int64_t pause_ms;
    std::int64_t min_ms;
    std::int64_t max_ms;
};

void PrintTo(const average_case& row, std::ostream* out)
{
    *out << row.name;
}

class averages : public testing::TestWithParam<average_case> {};

// Guards against an average that shows a server as fast during the 600 ms in which it is slow, or
// that forgets the run time of an idle server.
TEST_P(averages, follow_recent_run_times)
{
    run_time_average average;
    EXPECT_EQ(average.typical(), base::duration::zero());
    base::time_point now{};
    for (int n = 0; n < 1'600; ++n) {
        now += milliseconds(1);
        average.add(milliseconds(n < 1'000 ? 100 : GetParam().recent_ms), now);
    }
    now += milliseconds(GetParam().pause_ms);
    average.add(milliseconds(GetParam().recent_ms), now);
    EXPECT_GE(average.typical(), milliseconds(GetParam().min_ms));
    EXPECT_LE(average.typical(), milliseconds(GetParam().max_ms));
}

INSTANTIATE_TEST_SUITE_P(table, averages,
                         testing::Values(average_case{"constant", 100, 0, 100, 100},
                                         average_case{"became slow", 250, 0, 220, 250},
                                         average_case{"became fast", 40, 0, 40, 55},
                                         average_case{"idle for an hour", 100, 3'600'000, 100,
                                                      100}));

} // namespace
} // namespace damaskladder::routing
