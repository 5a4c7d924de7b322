#include "node/cold_guard.hpp"
#include "routing/router.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace damaskladder::node {
namespace {

using std::chrono::milliseconds;

base::time_point at(std::int64_t ms)
{
    return base::time_point(milliseconds(ms));
}

struct cold_fleet_case {
    std::string name;
    /// Times at which the servers become warm.
    std::vector<std::int64_t> warm_at_ms;
    double requests_per_second;
};

struct simulated_server {
    routing::backend_server announced;
    local_backend_server local;
    cold_guard guard;
    std::int64_t running = 0;
    std::vector<std::int64_t> sent_cold_ms;
};

struct simulated_run {
    std::int64_t ends_ms;
    std::size_t node;
    std::size_t server;
    base::importance level;
};

/// 80 entry nodes and the gatekeepers of one service. A server runs 10 requests at once for 100 ms.
class cold_fleet {
public:
    explicit cold_fleet(const cold_fleet_case& row) : m_row(row)
    {
        constexpr std::size_t nodes = 80;
        for (std::size_t n = 0; n < nodes; ++n) {
            routing::router_options options;
            options.random = [random = std::mt19937_64(n + 1)]() mutable { return random(); };
            m_routers.emplace_back(options);
        }
        for (std::size_t n = 0; n < row.warm_at_ms.size(); ++n) {
            simulated_server server;
            server.announced = {base::node_id(std::to_string(n)),
                                base::incarnation(1),
                                base::failure_domain_id("d"),
                                base::slot_count(10),
                                base::slot_count(0),
                                false,
                                true};
            server.local.cold_burst = base::request_count(22);
            server.local.cold_until = at(row.warm_at_ms[n]);
            server.local.announced_at = at(1);
            m_servers.push_back(server);
        }
    }

    void run(std::int64_t until_ms)
    {
        std::poisson_distribution<int> arrivals(m_row.requests_per_second / 1'000);
        std::discrete_distribution<int> levels({0, 30, 50, 20});
        for (std::int64_t ms = 0; ms < until_ms; ++ms) {
            finish_runs(ms);
            for (auto& server : m_servers) {
                server.announced.cold = at(ms) < server.local.cold_until;
                server.guard.update(server.local, at(-5'000));
            }
            for (int n = arrivals(m_random); n > 0; --n) {
                const auto level = static_cast<base::importance>(levels(m_random));
                const bool served = request(ms, m_random() % m_routers.size(), level);
                ++offered[ms / 1'000][level];
                m_served[ms / 1'000][level] += served ? 1 : 0;
            }
        }
    }

    /// Fraction of the offered requests of a level, or of all, that was served in windows of 500
    /// ms.
    double served_fraction(std::int64_t first, std::int64_t last,
                           std::optional<base::importance> level = std::nullopt)
    {
        double all = 0;
        double served = 0;
        for (auto window = first; window < last; ++window) {
            for (const auto& [each, count] : offered[window]) {
                if (!level || each == *level) {
                    all += count;
                    served += m_served[window][each];
                }
            }
        }
        return served / all;
    }

    int most_refused_in_one_second() const
    {
        int most = 0;
        for (const auto& [second, count] : m_refused) {
            most = std::max(most, count);
        }
        return most;
    }

    std::size_t most_sent_in_one_second() const
    {
        std::size_t most = 0;
        for (const auto& server : m_servers) {
            const auto& times = server.sent_cold_ms;
            for (auto last = times.begin(); last != times.end(); ++last) {
                const auto first = std::upper_bound(times.begin(), last, *last - 1'000);
                most = std::max(most, static_cast<std::size_t>(last - first) + 1);
            }
        }
        return most;
    }

    std::map<std::int64_t, std::map<base::importance, int>> offered;

private:
    bool request(std::int64_t ms, std::size_t node, base::importance level)
    {
        routing::router& router = m_routers[node];
        routing::choice_request wanted{base::failure_domain_id("d"), {}, true, level};
        while (true) {
            std::vector<routing::backend_server> announced;
            for (const auto& server : m_servers) {
                announced.push_back(server.announced);
            }
            const auto chosen = router.choose(announced, wanted, at(ms));
            if (!chosen) {
                return false;
            }
            const auto index = static_cast<std::size_t>(std::stoi(chosen->value()));
            simulated_server& server = m_servers[index];
            server.guard.offered(level, at(ms));
            const bool limited = !server.guard.allows(level, at(ms));
            if (!limited && server.running < server.announced.slots.value()) {
                server.guard.take(level, at(ms));
                ++server.running;
                if (server.guard.is_cold(at(ms))) {
                    server.sent_cold_ms.push_back(ms);
                }
                m_runs.push_back({ms + 100, node, index, level});
                return true;
            }
            ++m_refused[ms / 1'000];
            end_attempt(ms, {ms, node, index, level},
                        limited ? routing::attempt_result::limited : routing::attempt_result::shed);
            wanted.excluded.push_back(*chosen);
        }
    }

    void end_attempt(std::int64_t ms, const simulated_run& run, routing::attempt_result result)
    {
        const simulated_server& server = m_servers[run.server];
        const auto slots = server.announced.slots.value();
        const auto by_limit =
            static_cast<std::int64_t>(static_cast<double>(slots) * server.guard.used_share(at(ms)));
        routing::router& router = m_routers[run.node];
        router.on_attempt_ended(server.announced.node, run.level, result, at(ms));
        router.on_load_report(
            server.announced.node,
            {base::slot_count(std::max(server.running, by_limit)), server.announced.slots}, at(ms));
    }

    void finish_runs(std::int64_t ms)
    {
        const auto done = std::stable_partition(m_runs.begin(), m_runs.end(),
                                                [&](const auto& run) { return run.ends_ms > ms; });
        for (auto run = done; run != m_runs.end(); ++run) {
            --m_servers[run->server].running;
            end_attempt(ms, *run, routing::attempt_result::answered);
        }
        m_runs.erase(done, m_runs.end());
    }

    const cold_fleet_case& m_row;
    std::mt19937_64 m_random{5};
    std::vector<routing::router> m_routers;
    std::vector<simulated_server> m_servers;
    std::vector<simulated_run> m_runs;
    std::map<std::int64_t, std::map<base::importance, int>> m_served;
    std::map<std::int64_t, int> m_refused;
};

class cold_fleets : public testing::TestWithParam<cold_fleet_case> {};

// Guards against a cold server that gets more than its bound from 80 entry nodes together, against
// critical requests that are shed with the others while servers are cold, and against a recovery
// that swings between full and idle servers or lags behind the servers that become warm.
TEST_P(cold_fleets, shed_by_importance_and_recover)
{
    const auto& row = GetParam();
    constexpr std::int64_t end_ms = 16'000;
    cold_fleet fleet(row);
    fleet.run(end_ms);
    EXPECT_LE(fleet.most_sent_in_one_second(), 22U);
    // The first second is full, as every gatekeeper starts; windows last 1 s.
    const auto first_warm = row.warm_at_ms.front() / 1'000;
    const double critical = fleet.served_fraction(1, first_warm, base::importance::critical);
    const double normal = fleet.served_fraction(1, first_warm, base::importance::normal);
    const double low = fleet.served_fraction(1, first_warm, base::importance::low);
    RecordProperty("served", std::to_string(critical) + " " + std::to_string(normal) + " " +
                                 std::to_string(low));
    EXPECT_GE(critical, normal);
    EXPECT_GE(normal, low);
    double before = 0;
    for (std::size_t n = 0; n < row.warm_at_ms.size(); ++n) {
        const auto first = row.warm_at_ms[n] / 1'000 + 1;
        const auto last =
            n + 1 < row.warm_at_ms.size() ? row.warm_at_ms[n + 1] / 1'000 : end_ms / 1'000;
        const double step = fleet.served_fraction(first, last);
        EXPECT_GE(step, before - 0.05) << n;
        for (auto window = first; window < last; ++window) {
            EXPECT_GE(fleet.served_fraction(window, window + 1), 0.75 * step) << window;
        }
        before = step;
    }
    EXPECT_GE(before, 0.97);
}

INSTANTIATE_TEST_SUITE_P(
    table, cold_fleets,
    testing::Values(cold_fleet_case{"low_load", {3'000, 6'000, 9'000, 12'000}, 60},
                    cold_fleet_case{"load", {3'000, 6'000, 9'000, 12'000}, 240},
                    cold_fleet_case{"high_load", {3'000, 6'000, 9'000, 12'000}, 300}),
    [](const auto& tested) { return tested.param.name; });

class all_cold : public testing::TestWithParam<cold_fleet_case> {};

// Guards against refusals by the hundred at gatekeepers, and against critical requests that are
// refused although the cold servers have room for all of them (88 a second).
TEST_P(all_cold, serve_critical_requests_with_few_refusals)
{
    const auto& row = GetParam();
    const auto first_warm = row.warm_at_ms.front() / 1'000;
    cold_fleet fleet(row);
    fleet.run(row.warm_at_ms.front());
    EXPECT_LT(fleet.most_refused_in_one_second(), 100);
    EXPECT_GE(fleet.served_fraction(1, first_warm, base::importance::critical), 0.95);
}

INSTANTIATE_TEST_SUITE_P(table, all_cold,
                         testing::Values(cold_fleet_case{"low_load", {3'000, 3'000}, 40},
                                         cold_fleet_case{"load", {3'000, 3'000, 3'000, 3'000}, 240},
                                         cold_fleet_case{
                                             "high_load", {3'000, 3'000, 3'000, 3'000}, 300}),
                         [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::node
