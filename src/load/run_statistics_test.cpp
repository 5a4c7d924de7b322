#include "load/max_min_share.hpp"
#include "load/recovery_time.hpp"
#include "load/run_statistics.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace damaskladder::load {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct recovery_case {
    const char* name;
    /// Goodput in each second, in per cent of the demand, which is 100.
    std::vector<std::uint64_t> good;
    int end_ms;
    int until_s;
    std::optional<int> time_ms;
};

class recovery_after : public testing::TestWithParam<recovery_case> {};

// Guards against a recovery time that counts a single good second, or a second outside the
// observation period, as recovery.
TEST_P(recovery_after, is_the_first_second_from_which_goodput_stays)
{
    std::vector<goodput_counts> series;
    for (const auto good : GetParam().good) {
        series.push_back({request_count(100), request_count(good)});
    }
    const auto got =
        recovery_time(series, milliseconds(GetParam().end_ms), seconds(GetParam().until_s));
    ASSERT_EQ(got.has_value(), GetParam().time_ms.has_value());
    if (got) {
        EXPECT_EQ(*got, milliseconds(*GetParam().time_ms));
    }
}

INSTANTIATE_TEST_SUITE_P(
    table, recovery_after,
    testing::Values(recovery_case{"at_once", {100, 50, 100, 100}, 2000, 4, 0},
                    recovery_case{"at_the_bound", {100, 50, 95, 95}, 2000, 4, 0},
                    recovery_case{"below_the_bound", {100, 50, 94, 95}, 2000, 4, 1000},
                    recovery_case{"with_a_relapse", {50, 50, 100, 50, 100, 100}, 2000, 6, 2000},
                    recovery_case{"never", {100, 50, 50, 50}, 2000, 4, std::nullopt},
                    recovery_case{
                        "relapse_in_the_last_second", {50, 100, 100, 50}, 1000, 4, std::nullopt},
                    recovery_case{"relapse_after_the_next_cause", {50, 100, 100, 50}, 1000, 3, 0},
                    recovery_case{"end_within_a_second", {100, 50, 100, 100}, 1400, 4, 600},
                    recovery_case{"nothing_to_observe", {100, 100}, 2000, 2, std::nullopt},
                    recovery_case{"until_past_the_run", {100, 50, 100}, 2000, 9, 0}),
    [](const auto& tested) { return std::string(tested.param.name); });

struct share_case {
    const char* name;
    std::vector<std::uint64_t> demand;
    std::vector<std::uint64_t> good;
    std::vector<int> weight;
    std::vector<double> share;
};

std::vector<workspace_report> workspace_reports(const share_case& from)
{
    std::vector<workspace_report> reports(from.demand.size());
    for (std::size_t i = 0; i < reports.size(); ++i) {
        reports[i].total = {request_count(from.demand[i]), request_count(from.good[i])};
        reports[i].weight = base::share_weight(from.weight[i]);
    }
    return reports;
}

class max_min : public testing::TestWithParam<share_case> {};

// Guards against shares that exceed the demand of a workspace or ignore weights.
TEST_P(max_min, divides_what_was_served)
{
    auto reports = workspace_reports(GetParam());
    compute_max_min_shares(reports);
    for (std::size_t i = 0; i < reports.size(); ++i) {
        EXPECT_NEAR(reports[i].share, GetParam().share[i], 1e-9) << i;
    }
}

INSTANTIATE_TEST_SUITE_P(
    table, max_min,
    testing::Values(share_case{"all_served", {10, 20}, {10, 20}, {1, 1}, {10, 20}},
                    share_case{"equal_shares", {100, 100}, {60, 20}, {1, 1}, {40, 40}},
                    share_case{
                        "small_demand_first", {10, 100, 100}, {0, 70, 40}, {1, 1, 1}, {10, 50, 50}},
                    share_case{"by_weight", {100, 100}, {45, 45}, {2, 1}, {60, 30}},
                    share_case{"weight_beyond_demand", {40, 100}, {45, 45}, {2, 1}, {40, 50}},
                    share_case{"nothing_served", {10, 10}, {0, 0}, {1, 1}, {0, 0}},
                    share_case{"no_demand", {0, 10}, {0, 10}, {1, 1}, {0, 10}}),
    [](const auto& tested) { return std::string(tested.param.name); });

// Compares 200 random cases with progressive filling: each step gives every workspace that is below
// its demand a small amount in proportion to its weight.
TEST(max_min, agrees_with_filling_in_steps)
{
    std::mt19937 random(3);
    for (int round = 0; round < 200; ++round) {
        share_case random_case{"", {}, {}, {}, {}};
        for (auto count = 1 + random() % 6; count > 0; --count) {
            random_case.demand.push_back(random() % 50);
            random_case.good.push_back(
                random_case.demand.back() == 0 ? 0 : random() % random_case.demand.back());
            random_case.weight.push_back(static_cast<int>(1 + random() % 4));
        }
        auto reports = workspace_reports(random_case);
        compute_max_min_shares(reports);
        double left = 0;
        for (const auto good : random_case.good) {
            left += static_cast<double>(good);
        }
        constexpr double step = 0.001;
        std::vector<double> filled(reports.size(), 0);
        bool grew = true;
        while (left > 0 && grew) {
            grew = false;
            for (std::size_t i = 0; i < reports.size(); ++i) {
                const double room = static_cast<double>(random_case.demand[i]) - filled[i];
                const double more = std::min({step * random_case.weight[i], room, left});
                grew = grew || more > 0;
                filled[i] += more;
                left -= more;
            }
        }
        for (std::size_t i = 0; i < reports.size(); ++i) {
            EXPECT_NEAR(reports[i].share, filled[i], 0.05) << "round " << round;
        }
    }
}

experiment small_plan()
{
    experiment plan;
    plan.duration = seconds(3);
    for (const char* name : {"a", "b"}) {
        auto& stream = plan.streams.emplace_back();
        stream.name = stream_name(name);
        stream.workspace = base::workspace_id(std::string("w-") + name);
    }
    plan.streams[0].within_rate = true;
    return plan;
}

// Guards against results counted for the wrong stream or second, and against rate refusals of a
// stream without within_rate that are counted as wrongful.
TEST(run_statistics, counts_by_stream_second_and_workspace)
{
    run_statistics statistics(small_plan());
    const arrival first{milliseconds(900), stream_index(0)};
    const arrival second{milliseconds(1100), stream_index(0)};
    const arrival other{milliseconds(1200), stream_index(1)};
    for (const auto& request : {first, second, other}) {
        statistics.due(request);
        statistics.sent(request, request.due + milliseconds(1), true);
    }
    const request_result rate{result_class::refused_not_run, refusal_reason("rate")};
    const request_result success{result_class::success, {}};
    statistics.attempt_ended(second, rate);
    statistics.sent(second, milliseconds(1150), false);
    statistics.attempt_ended(second, success);
    statistics.ended(second, success, milliseconds(1300));
    statistics.attempt_ended(first, success);
    statistics.ended(first, success, milliseconds(2900));
    statistics.attempt_ended(other, rate);
    statistics.ended(other, rate, milliseconds(1210));

    const auto report = statistics.report();
    const std::vector<goodput_counts> seconds_wanted = {
        {request_count(1), request_count(1)}, {request_count(2), request_count(1)}, {}};
    EXPECT_EQ(report.seconds, seconds_wanted);
    EXPECT_EQ(report.streams[0].attempts, request_count(3));
    EXPECT_EQ(report.streams[0].count(result_class::success), request_count(2));
    EXPECT_EQ(report.streams[0].wrongful_refusals, request_count(1));
    EXPECT_TRUE(report.streams[0].reasons.empty());
    EXPECT_EQ(report.streams[1].reasons.at(refusal_reason("rate")), request_count(1));
    EXPECT_EQ(report.wrongful_refusals, request_count(1));
    EXPECT_EQ(report.latency.max, milliseconds(2000));
    EXPECT_EQ(report.send_delay.count, request_count(3));
    EXPECT_EQ(report.workspaces[1].workspace, base::workspace_id("w-b"));
    EXPECT_EQ(report.workspaces[1].ratio(), 0);
}

struct quantile_case {
    std::size_t count;
    double part;
};

class quantile : public testing::TestWithParam<quantile_case> {};

// Guards against quantiles that are off by a bin or a rank. Compares them with sorted samples.
TEST_P(quantile, is_within_one_percent_of_sorting)
{
    std::mt19937 random(5);
    std::lognormal_distribution<double> draw(8, 2);
    latency_histogram histogram;
    std::vector<std::int64_t> all;
    for (std::size_t i = 0; i < GetParam().count; ++i) {
        all.push_back(20 + static_cast<std::int64_t>(draw(random)));
        histogram.add(base::duration(all.back()));
    }
    std::sort(all.begin(), all.end());
    const auto rank =
        static_cast<std::size_t>(std::ceil(GetParam().part * static_cast<double>(all.size())));
    const auto exact = static_cast<double>(all[std::max<std::size_t>(rank, 1) - 1]);
    const auto got = static_cast<double>(histogram.quantile(GetParam().part).count());
    EXPECT_GE(got, exact);
    // Bin edges are rounded up to a whole microsecond.
    EXPECT_LE(got, exact * 1.01 + 1);
}

INSTANTIATE_TEST_SUITE_P(table, quantile,
                         testing::Values(quantile_case{1, 0.5}, quantile_case{2, 0.5},
                                         quantile_case{3, 0.5}, quantile_case{1000, 0.5},
                                         quantile_case{1000, 0.9}, quantile_case{1000, 0.99},
                                         quantile_case{1000, 0.999}, quantile_case{1000, 1},
                                         quantile_case{20000, 0.999}));

// Guards against losing values outside the range of the bins.
TEST(latency_histogram, keeps_values_outside_its_bins)
{
    latency_histogram histogram;
    EXPECT_EQ(histogram.quantile(0.5), base::duration(0));
    histogram.add(base::duration(1));
    EXPECT_EQ(histogram.quantile(1), base::duration(1));
    histogram.add(seconds(1000));
    EXPECT_EQ(histogram.quantile(1), seconds(1000));
}

} // namespace
} // namespace damaskladder::load
