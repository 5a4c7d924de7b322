#pragma once

#include "routing/router.hpp"
#include "routing/run_time_average.hpp"
#include "routing/uniform_fraction.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <numeric>
#include <queue>
#include <random>

namespace damaskladder::routing {

inline constexpr std::int64_t limit = 51;
inline constexpr int nodes = 70;
inline constexpr int end_ms = 6'000;
inline constexpr int part_ms = 500;
/// Time after which the load must be spread.
inline constexpr int settled_ms = 1'500;

struct replayed_server {
    int domain;
    double speed;
    int joins_ms = 0;
    /// Start of the 600 ms in which the server is 2.5 times slower.
    int slow_ms = end_ms;
    bool hangs = false;
    std::int64_t running = 0;
    std::deque<std::function<void()>> queue = {};
    run_time_average run_time = {};
    double work = 0;
};

/// Servers and the load on them.
struct replay_pattern {
    std::vector<replayed_server> servers;
    /// Load relative to the capacity of all servers at the start, and its parts by domain.
    double load;
    std::array<double, 3> parts;
};

struct replay_result {
    /// Load of the busiest server after speed, relative to the mean.
    double busiest = 0;
    /// Parts of the first attempts that leave their domain, in the half second with the least and
    /// with the most. A repeat after a refusal has to go to another server in any case.
    double least_leaving = 1;
    double most_leaving = 0;
    /// Part of the requests that fails.
    double failed = 0;
};

/// Replays the calls of many routers to a few servers. A load report arrives only with the answer
/// of an own call, so it is 70 to 300 ms old.
class placement_replay {
public:
    placement_replay(const replay_pattern& row, bool by_completion) : m_servers(row.servers)
    {
        for (unsigned n = 0; n < nodes; ++n) {
            router_options options;
            options.random = [random = std::mt19937_64(n)]() mutable { return random(); };
            options.placement.by_completion = by_completion;
            m_routers.emplace_back(std::move(options));
        }
        double capacity = 0;
        for (const auto& server : m_servers) {
            capacity += server.hangs || server.joins_ms > 0 ? 0 : server.speed * limit / 100;
        }
        for (; m_now < end_ms; ++m_now) {
            for (; !m_events.empty() && m_events.top().first <= m_now; m_events.pop()) {
                const auto call = m_events.top().second;
                call();
            }
            for (std::size_t n = 0; n < nodes; ++n) {
                if (fraction() < row.load * capacity * row.parts.at(n % 3) * 3 / nodes) {
                    send(n, {});
                }
            }
        }
    }

    replay_result result() const
    {
        replay_result r;
        double sum = 0;
        double serving = 0;
        for (const auto& server : m_servers) {
            r.busiest = std::max(r.busiest, server.work);
            sum += server.work;
            serving += server.hangs ? 0 : 1;
        }
        r.busiest *= serving / sum;
        for (std::size_t part = settled_ms / part_ms; part < m_sent.size(); ++part) {
            r.least_leaving = std::min(r.least_leaving, m_left.at(part) / m_sent.at(part));
            r.most_leaving = std::max(r.most_leaving, m_left.at(part) / m_sent.at(part));
        }
        r.failed = m_failed / std::accumulate(m_sent.begin(), m_sent.end(), 0.0);
        return r;
    }

private:
    using event = std::pair<int, std::function<void()>>;
    struct later {
        bool operator()(const event& a, const event& b) const { return a.first > b.first; }
    };

    double fraction() { return uniform_fraction(m_random); }
    base::time_point now() const { return base::time_point(std::chrono::milliseconds(m_now)); }
    void after(int ms, std::function<void()> call)
    {
        m_events.emplace(m_now + ms, std::move(call));
    }

    void send(std::size_t node, const std::vector<base::node_id>& tried)
    {
        const int domain = static_cast<int>(node % 3);
        std::vector<backend_server> announced;
        for (std::size_t i = 0; i < m_servers.size(); ++i) {
            if (m_now >= m_servers[i].joins_ms) {
                announced.push_back({base::node_id(std::to_string(i)), base::incarnation(1),
                                     base::failure_domain_id(std::to_string(m_servers[i].domain)),
                                     base::slot_count(limit), base::slot_count(0), false});
            }
        }
        const base::failure_domain_id own(std::to_string(domain));
        const auto chosen = m_routers[node].choose(
            announced, {own, tried, true, base::importance::background}, now());
        const auto part = static_cast<std::size_t>(m_now / part_ms);
        m_sent.at(part) += tried.empty() ? 1 : 0;
        if (!chosen) {
            m_failed += 1;
            return;
        }
        auto& server = m_servers[std::stoul(chosen->value())];
        m_left.at(part) += tried.empty() && server.domain != domain ? 1 : 0;
        const auto end = [=, this, &server](attempt_result result) {
            m_routers[node].on_attempt_ended(*chosen, base::importance::background, result, now());
            const auto busy = server.running + static_cast<std::int64_t>(server.queue.size());
            if (result != attempt_result::timed_out) {
                m_routers[node].on_load_report(
                    *chosen,
                    {base::slot_count(busy), base::slot_count(limit), server.run_time.typical()},
                    now());
            }
            if (result != attempt_result::shed || tried.size() == 2) {
                m_failed += result == attempt_result::answered ? 0 : 1;
                return;
            }
            auto next_tried = tried;
            next_tried.push_back(*chosen);
            send(node, next_tried);
        };
        const int round_trip = server.domain == domain ? 1 : 3;
        if (server.hangs) {
            after(700, [end] { end(attempt_result::timed_out); });
        }
        else if (server.queue.size() >= limit / 2) {
            after(round_trip, [end] { end(attempt_result::shed); });
        }
        else {
            server.queue.emplace_back([=, this, &server] {
                const bool slow = m_now >= server.slow_ms && m_now < server.slow_ms + 600;
                const double ms = (50 + 100 * fraction()) / server.speed * (slow ? 2.5 : 1);
                ++server.running;
                server.work += m_now >= settled_ms ? 1 / server.speed : 0;
                after(static_cast<int>(ms), [=, this, &server] {
                    --server.running;
                    server.run_time.add(std::chrono::milliseconds(static_cast<int>(ms)), now());
                    start_queued(server);
                    after(round_trip, [end] { end(attempt_result::answered); });
                });
            });
            start_queued(server);
        }
    }

    static void start_queued(replayed_server& server)
    {
        while (server.running < limit && !server.queue.empty()) {
            const auto start = std::move(server.queue.front());
            server.queue.pop_front();
            start();
        }
    }

    std::vector<replayed_server> m_servers;
    std::vector<router> m_routers;
    std::priority_queue<event, std::vector<event>, later> m_events;
    base::random_source m_random = [random = std::mt19937_64(1)]() mutable { return random(); };
    int m_now = 0;
    std::array<double, end_ms / part_ms> m_sent{};
    std::array<double, end_ms / part_ms> m_left{};
    double m_failed = 0;
};

} // namespace damaskladder::routing
