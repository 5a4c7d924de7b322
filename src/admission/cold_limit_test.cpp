#include "admission/cold_limit.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace damaskladder::admission {
namespace {

using std::chrono::milliseconds;

constexpr base::importance critical = base::importance::critical;

base::time_point at(std::int64_t ms)
{
    return base::time_point(milliseconds(ms));
}

/// Most of the sorted times that lie within one second.
std::size_t most_in_one_second(const std::vector<std::int64_t>& times_ms)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times_ms.size(); ++last) {
        while (times_ms[last] - times_ms[first] >= 1'000) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

struct arrival_case {
    std::string name;
    std::int64_t bound;
    /// Requests that arrive at once, and the time between two such groups.
    int group;
    std::int64_t every_ms;
    /// Longest delay between a send and its arrival at the server.
    std::int64_t delay_ms;
    /// Fewest requests that must be sent in 20 s.
    std::size_t fewest;
};

class cold_servers : public testing::TestWithParam<arrival_case> {};

// Guards against a cold server that crashes, as it gets more than its bound in one second although
// each second of the clock has no more.
TEST_P(cold_servers, get_no_more_than_the_bound_in_any_second)
{
    const auto& row = GetParam();
    std::mt19937_64 random(7);
    std::uniform_int_distribution<std::int64_t> delay(0, row.delay_ms);
    cold_limit limit;
    limit.set(base::request_count(row.bound), at(0));
    std::vector<std::int64_t> arrivals;
    for (std::int64_t ms = 0; ms < 20'000; ms += row.every_ms) {
        for (int n = 0; n < row.group && limit.allows(critical, at(ms)); ++n) {
            limit.take(critical, at(ms));
            arrivals.push_back(ms + delay(random));
        }
    }
    std::sort(arrivals.begin(), arrivals.end());
    EXPECT_LE(most_in_one_second(arrivals), static_cast<std::size_t>(row.bound));
    EXPECT_GE(arrivals.size(), row.fewest);
    EXPECT_GE(arrivals.front(), 1'000) << "the second before the start is not counted as full";
}

INSTANTIATE_TEST_SUITE_P(table, cold_servers,
                         testing::Values(arrival_case{"steady", 22, 1, 2, 0, 320},
                                         arrival_case{"bursts", 22, 80, 100, 0, 320},
                                         arrival_case{"bursts_delayed", 22, 80, 100, 90, 320},
                                         arrival_case{"below", 22, 1, 100, 20, 185},
                                         arrival_case{"smallest", 1, 5, 10, 0, 17}),
                         [](const auto& tested) { return tested.param.name; });

struct reserve_case {
    std::string name;
    base::importance level;
    int taken;
};

class cold_reserves : public testing::TestWithParam<reserve_case> {};

// Guards against requests of low importance that leave nothing to those of high importance.
TEST_P(cold_reserves, are_kept_for_more_important_requests)
{
    cold_limit limit;
    limit.set(base::request_count(22), at(-2'000));
    int taken = 0;
    for (; limit.allows(GetParam().level, at(0)); ++taken) {
        limit.take(GetParam().level, at(0));
    }
    EXPECT_EQ(taken, GetParam().taken);
    EXPECT_EQ(limit.allows(critical, at(0)), taken < 20);
}

INSTANTIATE_TEST_SUITE_P(table, cold_reserves,
                         testing::Values(reserve_case{"critical", critical, 20},
                                         reserve_case{"normal", base::importance::normal, 18},
                                         reserve_case{"background", base::importance::background,
                                                      12}),
                         [](const auto& tested) { return tested.param.name; });

// Guards against critical requests that find the bound used up by others that arrived before them.
TEST(cold_limit, keeps_what_more_important_requests_have_asked_for)
{
    cold_limit limit;
    limit.set(base::request_count(22), at(-2'000));
    int normal = 0;
    int refused_critical = 0;
    for (std::int64_t ms = 0; ms < 20'000; ++ms) {
        if (ms % 100 == 0) {
            limit.offered(critical, at(ms));
            if (limit.allows(critical, at(ms))) {
                limit.take(critical, at(ms));
            }
            else {
                refused_critical += ms > 3'000 ? 1 : 0;
            }
        }
        limit.offered(base::importance::normal, at(ms));
        if (limit.allows(base::importance::normal, at(ms))) {
            limit.take(base::importance::normal, at(ms));
            ++normal;
        }
    }
    EXPECT_EQ(refused_critical, 0);
    EXPECT_GE(normal, 40);
}

// Guards against requests that are forgotten: those sent before a bound is set, and those that a
// changed bound would drop from the log.
TEST(cold_limit, counts_what_was_sent_before_the_bound_was_set_or_changed)
{
    cold_limit limit;
    EXPECT_TRUE(limit.allows(critical, at(0)));
    limit.take(critical, at(500));
    limit.set(base::request_count(22), at(-2'000));
    EXPECT_FALSE(limit.allows(critical, at(1'500)));
    EXPECT_EQ(limit.used_share(at(1'500)), 1);
    for (int n = 0; n < 100; ++n) {
        limit.take(critical, at(2'000));
    }
    limit.set(base::request_count(40), at(-2'000));
    EXPECT_FALSE(limit.allows(critical, at(2'900)));
    EXPECT_TRUE(limit.allows(critical, at(3'100)));
    EXPECT_EQ(limit.used_share(at(3'100)), 0);
}

} // namespace
} // namespace damaskladder::admission
