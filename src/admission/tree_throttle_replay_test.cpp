#include "admission/leaf_surge_replay.hpp"

#include <gtest/gtest.h>

namespace damaskladder::admission {
namespace {

/// Results of a second or of the mean of several runs, as parts of capacity, calls and demand.
struct surge_result {
    double completed = 0;
    double refused = 0;
    std::array<double, 3> served{};
    double lowest_second = 9;
    double highest_second = 0;
    /// Calls of completed trees two to four seconds after the surge, as a part of the demand.
    double recovered = 0;
};

/// Mean over seeds, from two seconds after the start of the surge to its end.
surge_result measure(double surge, bool throttled)
{
    constexpr int seeds = 4;
    surge_result result;
    second_counts sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto seconds = leaf_surge_replay(surge, throttled, seed).run();
        for (std::size_t s = surge_start_s + 2; s < surge_end_s; ++s) {
            const double completed = seconds[s].completed_calls / capacity;
            result.completed += completed / seeds / (surge_end_s - surge_start_s - 2);
            result.lowest_second = std::min(result.lowest_second, completed);
            result.highest_second = std::max(result.highest_second, completed);
            sum.calls += seconds[s].calls;
            sum.refused_calls += seconds[s].refused_calls;
            for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
                sum.offered[kind] += seconds[s].offered[kind];
                sum.completed[kind] += seconds[s].completed[kind];
            }
        }
        for (std::size_t s = surge_end_s + 2; s < surge_end_s + 4; ++s) {
            result.recovered += seconds[s].completed_calls / (usual_demand * capacity) / 2 / seeds;
        }
    }
    result.refused = sum.refused_calls / sum.calls;
    for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
        result.served[kind] = sum.completed[kind] / sum.offered[kind];
    }
    return result;
}

struct surge_case {
    const char* name;
    /// Demand as a part of the capacity.
    double surge;
    /// Bounds with the throttle.
    double min_completed;
    double max_refused;
    double lowest_second;
    double highest_second;
    double min_recovered;
    /// Refused calls without the throttle are at least this part.
    double refused_before;
};

void PrintTo(const surge_case& row, std::ostream* out)
{
    *out << row.name;
}

class leaf_under_surge : public testing::TestWithParam<surge_case> {};

// Guards against work for trees that fail at the leaf, against shedding without need, against
// oscillation, and against kinds of root requests that are starved or served in the wrong order.
TEST_P(leaf_under_surge, is_used_without_refusals)
{
    const auto& row = GetParam();
    const auto result = measure(row.surge, true);
    const auto before = measure(row.surge, false);
    EXPECT_GE(result.completed, row.min_completed);
    EXPECT_LE(result.refused, row.max_refused);
    EXPECT_GE(result.lowest_second, row.lowest_second);
    EXPECT_LE(result.highest_second, row.highest_second);
    EXPECT_GE(result.recovered, row.min_recovered);
    EXPECT_GE(before.refused, row.refused_before);
    double mean = 0;
    for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
        mean += result.served[kind] * kinds[kind].part;
    }
    for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
        EXPECT_GE(result.served[kind], mean / 4) << kinds[kind].route;
        const bool least = kind + 1 == kinds.size();
        EXPECT_TRUE(least || result.served[kind] >= result.served[kind + 1] - 0.05)
            << kinds[kind].route;
    }
}

INSTANTIATE_TEST_SUITE_P(
    table, leaf_under_surge,
    testing::Values(surge_case{"no surge", 0.9, 0.87, 0.001, 0.7, 1.1, 0.9, 0},
                    surge_case{"one and a fifth", 1.2, 0.9, 0.01, 0.7, 1.1, 0.9, 0.03},
                    surge_case{"over twice", 2.6, 0.9, 0.02, 0.7, 1.3, 0.7, 0.2}));

} // namespace
} // namespace damaskladder::admission
