#include "routing/weighted_round_robin.hpp"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace damaskladder::routing {
namespace {

struct round_robin_case {
    std::string name;
    std::vector<std::int32_t> weights;
    int requests = 0;
    std::vector<int> expected;
};

class round_robin : public testing::TestWithParam<round_robin_case> {};

std::vector<settings::split_part> parts_of(const std::vector<std::int32_t>& weights)
{
    std::vector<settings::split_part> parts;
    parts.reserve(weights.size());
    for (const auto weight : weights) {
        parts.push_back(
            {base::service_id("s" + std::to_string(parts.size())), base::share_weight(weight)});
    }
    return parts;
}

// Guards against shares that deviate from the weights over few requests.
TEST_P(round_robin, follows_weights)
{
    const auto parts = parts_of(GetParam().weights);
    weighted_round_robin scheduler;
    std::map<base::service_id, int> counts;
    for (int i = 0; i < GetParam().requests; ++i) {
        ++counts[scheduler.next(parts)];
    }
    std::vector<int> got;
    got.reserve(parts.size());
    for (const auto& part : parts) {
        got.push_back(counts[part.service]);
    }
    EXPECT_EQ(got, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(table, round_robin,
                         testing::Values(round_robin_case{"ninety_ten", {90, 10}, 200, {180, 20}},
                                         round_robin_case{"short_time", {90, 10}, 10, {9, 1}},
                                         round_robin_case{"three", {50, 30, 20}, 100, {50, 30, 20}},
                                         round_robin_case{"weight_zero", {1, 0}, 50, {50, 0}},
                                         round_robin_case{"all_zero", {0, 0}, 5, {5, 0}},
                                         round_robin_case{"one_part", {7}, 5, {5}}),
                         [](const auto& test) { return test.param.name; });

// Guards against credits of the previous split that would favor a part of the next one.
TEST(weighted_round_robin, resets_when_weights_change)
{
    weighted_round_robin scheduler;
    for (int i = 0; i < 7; ++i) {
        scheduler.next(parts_of({50, 50}));
    }
    int second = 0;
    for (int i = 0; i < 10; ++i) {
        second += scheduler.next(parts_of({90, 10})) == base::service_id("s1") ? 1 : 0;
    }
    EXPECT_EQ(second, 1);
}

} // namespace
} // namespace damaskladder::routing
