#include "admission/rate_limit.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <random>
#include <string>

namespace damaskladder::admission {
namespace {

using std::chrono::milliseconds;

constexpr base::importance critical = base::importance::critical;

base::time_point at(int ms)
{
    return base::time_point(milliseconds(ms));
}

struct overload_case {
    std::string name;
    double rate;
    /// Mean of the requests offered each second.
    double offered;
};

class limited_servers : public testing::TestWithParam<overload_case> {};

// Guards against a server that gets more than it has named: at most one and a half times the rate
// and 5 requests in any 4 s. Also against a limit that wastes what the server would take.
TEST_P(limited_servers, get_what_they_have_named)
{
    const auto& row = GetParam();
    std::mt19937_64 random(7);
    std::exponential_distribution<double> gap(row.offered);
    rate_limit limit;
    limit.set(requests_per_second{row.rate}, at(0));
    constexpr double end = 120;
    constexpr double window = 4;
    std::deque<double> sent;
    std::size_t most = 0;
    std::size_t total = 0;
    for (double now = 0; now < end; now += gap(random)) {
        const auto present = base::time_point(
            std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(now)));
        if (!limit.allows(critical, present)) {
            EXPECT_GT(limit.time_until_allowed(critical, present), base::duration::zero());
            continue;
        }
        limit.take(present);
        ++total;
        sent.push_back(now);
        while (sent.front() <= now - window) {
            sent.pop_front();
        }
        most = std::max(most, sent.size());
    }
    EXPECT_LE(static_cast<double>(most), 1.5 * row.rate * window + 5);
    const double possible = std::min(row.rate, row.offered) * end;
    EXPECT_GE(static_cast<double>(total), 0.9 * possible);
}

INSTANTIATE_TEST_SUITE_P(
    table, limited_servers,
    testing::Values(overload_case{"twice", 12, 24}, overload_case{"many_times", 14.4, 200},
                    overload_case{"large", 114, 250}, overload_case{"below", 50, 20},
                    overload_case{"less_than_one", 0.5, 20}, overload_case{"zero", 0, 20}),
    [](const auto& tested) { return tested.param.name; });

struct importance_case {
    std::string name;
    base::importance level;
    int taken;
};

class reserves : public testing::TestWithParam<importance_case> {};

// Guards against requests of low importance that leave nothing to those of high importance.
TEST_P(reserves, are_kept_for_more_important_requests)
{
    rate_limit limit;
    limit.set(requests_per_second{21}, at(0));
    int taken = 0;
    while (limit.allows(GetParam().level, at(0))) {
        limit.take(at(0));
        ++taken;
    }
    EXPECT_EQ(taken, GetParam().taken);
    const auto wait = limit.time_until_allowed(GetParam().level, at(0));
    EXPECT_TRUE(limit.allows(GetParam().level, at(0) + wait + milliseconds(1)));
}

INSTANTIATE_TEST_SUITE_P(table, reserves,
                         testing::Values(importance_case{"critical", critical, 21},
                                         importance_case{"normal", base::importance::normal, 18},
                                         importance_case{"background", base::importance::background,
                                                         12}),
                         [](const auto& tested) { return tested.param.name; });

// Guards against a bucket that is filled again by a repeated or changed rate, which would let a
// burst pass with every answer.
TEST(rate_limit, a_repeated_or_changed_rate_adds_no_tokens)
{
    rate_limit limit;
    limit.set(requests_per_second{10}, at(0));
    while (limit.allows(critical, at(0))) {
        limit.take(at(0));
    }
    for (const double rate : {10.0, 40.0, 10.0}) {
        limit.set(requests_per_second{rate}, at(0));
        EXPECT_FALSE(limit.allows(critical, at(0))) << rate;
    }
    limit.set(std::nullopt, at(10));
    EXPECT_TRUE(limit.allows(base::importance::background, at(10)));
    EXPECT_EQ(limit.used_share(at(10)), 0);
}

} // namespace
} // namespace damaskladder::admission
