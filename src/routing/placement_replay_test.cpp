#include "routing/placement_replay.hpp"

#include <gtest/gtest.h>

#include <iostream>

namespace damaskladder::routing {
namespace {

struct replay_case {
    const char* name;
    replay_pattern pattern;
    /// Bounds with placement by completion; the last is that of most - least leaving.
    replay_result bounds;
    double max_swing;
};

void PrintTo(const replay_case& row, std::ostream* out)
{
    *out << row.name;
}

class placements : public testing::TestWithParam<replay_case> {};

// Guards against a server with 1.7 times the mean load, against traffic that leaves the failure
// domain without a gain, and against many nodes that move their traffic together.
TEST_P(placements, spread_load)
{
    const auto& row = GetParam();
    for (const bool by_completion : {false, true}) {
        const auto r = placement_replay(row.pattern, by_completion).result();
        std::cout << row.name << (by_completion ? ", after:" : ", before:") << " busiest "
                  << r.busiest << " leaving " << r.least_leaving << " to " << r.most_leaving
                  << " failed " << r.failed << '\n';
        if (by_completion) {
            EXPECT_LE(r.busiest, row.bounds.busiest);
            EXPECT_GE(r.least_leaving, row.bounds.least_leaving);
            EXPECT_LE(r.most_leaving, row.bounds.most_leaving);
            EXPECT_LE(r.failed, row.bounds.failed);
            EXPECT_LE(r.most_leaving - r.least_leaving, row.max_swing);
        }
    }
}

using server_list = std::vector<replayed_server>;
const server_list one_domain{{0, 0.5}, {0, 1}, {0, 1}, {0, 1.5}};
const server_list three_domains{{0, 0.5}, {0, 1}, {1, 1}, {2, 1.5}};
const server_list equal{{0, 1}, {1, 1}, {2, 1}};
const server_list slow{{0, 0.5}, {0, 1}, {1, 1, 0, 3'000}, {2, 1.5}};
const server_list joiner{{0, 0.5}, {0, 1}, {1, 1}, {2, 1.5}, {1, 1, 3'000}};
const server_list hanging{{0, 0.5}, {0, 1}, {1, 1}, {1, 1, 0, end_ms, true}, {2, 1.5}};
constexpr std::array<double, 3> one{1, 0, 0};
constexpr std::array<double, 3> even{1.0 / 3, 1.0 / 3, 1.0 / 3};
constexpr std::array<double, 3> uneven{2.0 / 3, 1.0 / 3, 0};

INSTANTIATE_TEST_SUITE_P(
    table, placements,
    testing::Values(
        // Equal load is no reason to leave; at 0.8 the random differences between servers are one.
        replay_case{"equal 0.6", {equal, 0.6, even}, {1.15, 0, 0.02, 0}, 0.02},
        replay_case{"equal 0.8", {equal, 0.8, even}, {1.15, 0, 0.1, 0}, 0.1},
        replay_case{"speeds 0.6", {one_domain, 0.6, one}, {1.15, 0, 0, 0}, 0},
        replay_case{"speeds 0.9", {one_domain, 0.9, one}, {1.15, 0, 0, 0}, 0},
        replay_case{"domains 0.3", {three_domains, 0.3, even}, {1.4, 0, 0.02, 0}, 0.02},
        replay_case{"domains 0.9", {three_domains, 0.9, even}, {1.15, 0, 0.2, 0.01}, 0.1},
        replay_case{"all full", {equal, 1.2, even}, {1.15, 0, 0.1, 0.25}, 0.05},
        replay_case{
            "two thirds in one, 0.6", {three_domains, 0.6, uneven}, {1.3, 0.2, 0.4, 0}, 0.15},
        replay_case{
            "two thirds in one, 0.9", {three_domains, 0.9, uneven}, {1.15, 0.3, 0.6, 0.02}, 0.2},
        replay_case{"slow for 600 ms", {slow, 0.6, even}, {1.3, 0, 0.3, 0}, 0.3},
        replay_case{"joiner", {joiner, 0.6, even}, {1.4, 0, 0.15, 0}, 0.15},
        replay_case{"hanging", {hanging, 0.6, even}, {1.3, 0, 0.05, 0.07}, 0.05}));

} // namespace
} // namespace damaskladder::routing
