#include "node/traffic_model.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <numeric>

namespace damaskladder::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Requests sent in an interval of the simulated time, and how many of them were answered.
struct tally {
    double sent = 0;
    double answered = 0;
};

tally count(const std::vector<model_request>& requests, base::time_point from,
            base::time_point until, std::optional<std::size_t> sender = std::nullopt)
{
    tally result;
    for (const auto& request : requests) {
        if (request.sent_at >= from && request.sent_at < until &&
            (!sender || request.sender == *sender)) {
            result.sent += 1;
            result.answered += request.answered ? 1 : 0;
        }
    }
    return result;
}

base::time_point at_s(std::int64_t value)
{
    return base::time_point(seconds(value));
}

/// Eight equal senders whose total rate is a multiple of the capacity.
model_options equal_senders(double demand, std::uint64_t seed)
{
    model_options options;
    options.seed = seed;
    options.senders.assign(8, {demand * options.capacity() / 8, base::importance::normal});
    return options;
}

/// Goodput between 2 s and 8 s as a fraction of the capacity.
double goodput(const model_options& options)
{
    traffic_model model(options);
    return count(model.run(), at_s(2), at_s(8)).answered / 6 / options.capacity();
}

struct demand_case {
    double demand;
    /// Announced slots; the actual number is 10.
    int announced_slots;
    double least_goodput;
};

void PrintTo(const demand_case& row, std::ostream* out)
{
    *out << row.demand << "x, " << row.announced_slots << " announced";
}

class demands : public testing::TestWithParam<demand_case> {};

// Guards against goodput that drops under overload. The bound at 3x is the stated target, which
// also applies if the announced number of slots is wrong. The bound at 1x is lower because random
// arrivals leave slots idle at times; 6x has no stated target.
TEST_P(demands, keep_goodput)
{
    const auto& row = GetParam();
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        model_options options = equal_senders(row.demand, seed);
        options.announced_slots = row.announced_slots;
        const double controlled = goodput(options);
        options.pass_through = true;
        const double passed_through = goodput(options);
        std::printf("demand %.1f announced %d seed %d: goodput %.3f, pass-through %.3f\n",
                    row.demand, row.announced_slots, static_cast<int>(seed), controlled,
                    passed_through);
        EXPECT_GE(controlled, row.least_goodput) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(table, demands,
                         testing::Values(demand_case{1.0, 10, 0.9}, demand_case{3.0, 10, 0.95},
                                         demand_case{6.0, 10, 0.9}, demand_case{3.0, 40, 0.95},
                                         demand_case{3.0, 5, 0.95}));

// Guards against refusals while there is spare capacity.
TEST(traffic_model, refuses_nothing_below_capacity)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const model_options options = equal_senders(0.7, seed);
        traffic_model model(options);
        const tally all = count(model.run(), at_s(0), at_s(8));
        EXPECT_EQ(all.answered, all.sent) << "seed " << seed;
    }
}

/// Max-min fair shares of a capacity for the given demands.
std::vector<double> max_min_shares(std::vector<double> demands, double capacity)
{
    std::vector<double> shares(demands.size(), 0);
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), 0U);
    std::sort(order.begin(), order.end(),
              [&](std::size_t a, std::size_t b) { return demands[a] < demands[b]; });
    double left = capacity;
    for (std::size_t n = 0; n < order.size(); ++n) {
        const double equal = left / static_cast<double>(order.size() - n);
        shares[order[n]] = std::min(demands[order[n]], equal);
        left -= shares[order[n]];
    }
    return shares;
}

double worst_share(const model_options& options)
{
    traffic_model model(options);
    const auto& requests = model.run();
    std::vector<tally> served;
    std::vector<double> sent;
    for (std::size_t sender = 0; sender < options.senders.size(); ++sender) {
        served.push_back(count(requests, at_s(2), at_s(8), sender));
        sent.push_back(served.back().sent / 6);
    }
    const auto shares = max_min_shares(sent, options.capacity());
    double worst = 1;
    for (std::size_t sender = 0; sender < served.size(); ++sender) {
        worst = std::min(worst, served[sender].answered / 6 / shares[sender]);
    }
    return worst;
}

// Guards against a large sender that takes capacity from the fair shares of small ones.
TEST(traffic_model, worst_served_workspace_gets_its_share)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        model_options options = equal_senders(1.0, seed);
        const double capacity = options.capacity();
        const std::vector<double> parts{2.0, 0.4, 0.2, 0.15, 0.1, 0.07, 0.05, 0.03};
        for (std::size_t sender = 0; sender < parts.size(); ++sender) {
            options.senders[sender].per_second = parts[sender] * capacity;
        }
        const double controlled = worst_share(options);
        options.pass_through = true;
        const double passed_through = worst_share(options);
        std::printf("worst share seed %d: %.3f, pass-through %.3f\n", static_cast<int>(seed),
                    controlled, passed_through);
        EXPECT_GE(controlled, 0.95) << "seed " << seed;
    }
}

double lost_important(const model_options& options)
{
    traffic_model model(options);
    const tally important = count(model.run(), at_s(0), at_s(8), 0);
    return important.sent - important.answered;
}

// Guards against shedding important requests while shedding less important ones suffices.
TEST(traffic_model, important_requests_lose_nothing)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        model_options options = equal_senders(3.0, seed);
        options.senders[0] = {0.5 * options.capacity(), base::importance::critical};
        options.senders[1].importance = base::importance::low;
        const double controlled = lost_important(options);
        options.pass_through = true;
        const double passed_through = lost_important(options);
        std::printf("important requests lost, seed %d: %.0f, pass-through %.0f\n",
                    static_cast<int>(seed), controlled, passed_through);
        EXPECT_EQ(controlled, 0) << "seed " << seed;
    }
}

/// Seconds from the end of the slow period until a second in which 95% of the requests are
/// answered; 15 if there is none.
double recovery(const model_options& options)
{
    traffic_model model(options);
    const auto& requests = model.run();
    const base::time_point end(options.slow_until);
    base::duration wait{};
    while (wait < seconds(15)) {
        const tally second = count(requests, end + wait, end + wait + seconds(1));
        if (second.answered >= 0.95 * second.sent) {
            break;
        }
        wait += milliseconds(50);
    }
    return static_cast<double>(wait.count()) / 1e6;
}

// Guards against a metastable overload, which outlasts its cause: the deep service, called by a
// front service, is ten times slower for 20 s, and clients send each failing request three times.
TEST(traffic_model, recovers_after_a_slow_deep_service)
{
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        model_options options = equal_senders(0.8, seed);
        options.two_levels = true;
        options.client_attempts = 3;
        options.slow_factor = 10;
        options.slow_from = seconds(3);
        options.slow_until = seconds(23);
        options.length = seconds(39);
        const double controlled = recovery(options);
        options.pass_through = true;
        const double passed_through = recovery(options);
        std::printf("recovery seed %d: %.2f s, pass-through %.2f s\n", static_cast<int>(seed),
                    controlled, passed_through);
        EXPECT_LE(controlled, 2.0) << "seed " << seed;
    }
}

} // namespace
} // namespace damaskladder::node
