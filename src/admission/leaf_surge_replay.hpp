#pragma once

#include "admission/controller.hpp"
#include "admission/pressure_meter.hpp"
#include "admission/tree_throttle.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace damaskladder::admission {

struct root_kind {
    const char* route;
    base::importance level;
    int calls;
    /// Part of all trees.
    double part;
};

inline constexpr std::array<root_kind, 3> kinds{{{"critical", base::importance::critical, 8, 0.2},
                                                 {"normal", base::importance::normal, 8, 0.5},
                                                 {"low", base::importance::low, 4, 0.3}}};
inline constexpr int entry_nodes = 60;
inline constexpr int servers = 4;
inline constexpr std::int64_t slots = 54;
inline constexpr base::duration run_time = std::chrono::milliseconds(40);
inline constexpr base::duration feedback_delay = std::chrono::milliseconds(300);
/// Part of the slots that the gatekeepers use on the users' platform.
inline constexpr double usable = 0.945;
inline constexpr double capacity = servers * slots * usable / 0.040;
/// Demand before and after the surge, as a part of the capacity.
inline constexpr double usual_demand = 0.9;
inline constexpr int surge_start_s = 5;
inline constexpr int surge_end_s = 15;
inline constexpr int end_s = 20;

/// Results of one second.
struct second_counts {
    double calls = 0;
    double refused_calls = 0;
    double completed_calls = 0;
    std::array<double, 3> offered{};
    std::array<double, 3> completed{};
};

/// For tests: replays Poisson arrivals of trees at 60 entry nodes. Each tree makes its calls to the
/// leaf one after another and fails when one of them is refused.
class leaf_surge_replay {
public:
    leaf_surge_replay(double surge, bool throttled, std::uint64_t seed)
        : m_surge(surge), m_throttled(throttled), m_random(seed)
    {
        controller_options options;
        options.limit.min_factor = options.limit.max_factor = options.limit.cold_factor = usable;
        options.max_open_fraction = 1;
        std::vector<verdict> none;
        for (int n = 0; n < servers; ++n) {
            m_leaf.emplace_back(options);
            m_leaf.back().announce(base::slot_count(slots), false, m_now, none);
        }
        m_meters.resize(servers);
        for (int n = 0; n < entry_nodes; ++n) {
            m_nodes.emplace_back(tree_throttle_options{}, [this] { return m_random(); });
        }
    }

    std::vector<second_counts> run()
    {
        arrive();
        while (!m_actions.empty() && m_actions.top().at < end()) {
            const auto next = m_actions.top();
            m_actions.pop();
            m_now = next.at;
            next.run();
        }
        return m_seconds;
    }

private:
    struct action {
        base::time_point at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const action& other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };
    struct tree {
        std::size_t kind = 0;
        std::size_t node = 0;
        int calls_left = 0;
        std::size_t server = 0;
    };

    static base::time_point end() { return base::time_point(std::chrono::seconds(end_s)); }
    second_counts& second()
    {
        return m_seconds[static_cast<std::size_t>(m_now.time_since_epoch() /
                                                  std::chrono::seconds(1))];
    }
    double uniform() { return std::uniform_real_distribution<double>()(m_random); }
    void after(base::duration delay, std::function<void()> run)
    {
        m_actions.push({m_now + delay, ++m_order, std::move(run)});
    }

    void arrive()
    {
        double calls_per_tree = 0;
        for (const auto& kind : kinds) {
            calls_per_tree += kind.part * kind.calls;
        }
        const auto second_now = m_now.time_since_epoch() / std::chrono::seconds(1);
        const bool surging = second_now >= surge_start_s && second_now < surge_end_s;
        const double rate = (surging ? m_surge : usual_demand) * capacity / calls_per_tree;
        const double gap = std::exponential_distribution<double>(rate)(m_random);
        after(base::duration(static_cast<std::int64_t>(gap * 1e6)), [this] { arrive(); });
        const double drawn = uniform();
        const std::size_t kind = drawn < kinds[0].part ? 0 : drawn < 1 - kinds[2].part ? 1 : 2;
        const auto node = static_cast<std::size_t>(m_random() % entry_nodes);
        second().offered[kind] += 1;
        const base::workspace_id workspace("w" + std::to_string(m_random() % 12));
        if (m_throttled && m_nodes[node].shed(base::route_id(kinds[kind].route), kinds[kind].level,
                                              workspace, m_now)) {
            return;
        }
        const ticket id(++m_last_tree);
        m_trees[id] = {kind, node, kinds[kind].calls, 0};
        call(id);
    }

    void call(ticket id)
    {
        tree& caller = m_trees[id];
        const auto busy = [&](std::size_t n) {
            return m_leaf[n].running().value() + m_leaf[n].queued();
        };
        const std::size_t one = m_random() % servers;
        const std::size_t other = m_random() % servers;
        caller.server = busy(one) <= busy(other) ? one : other;
        second().calls += 1;
        std::vector<verdict> verdicts;
        const auto server = caller.server;
        m_leaf[server].offer({id, base::workspace_id("w"), base::share_weight(1),
                              kinds[caller.kind].level, m_now + std::chrono::milliseconds(700)},
                             m_now, verdicts);
        apply(server, verdicts);
    }

    void apply(std::size_t server, const std::vector<verdict>& verdicts)
    {
        for (const auto& one : verdicts) {
            if (one.kind == verdict_kind::start) {
                after(run_time, [this, server, id = one.id] { finish(server, id); });
            }
            else {
                second().refused_calls += 1;
                end_tree(one.id);
            }
        }
        const auto busy = m_leaf[server].running().value() + m_leaf[server].queued();
        m_meters[server].record(
            base::load_fraction(static_cast<double>(busy) /
                                static_cast<double>(m_leaf[server].limit().value())),
            m_now);
    }

    void finish(std::size_t server, ticket id)
    {
        std::vector<verdict> verdicts;
        m_leaf[server].expire(m_now, verdicts);
        m_leaf[server].finished(id, call_outcome::served, run_time, m_now, verdicts);
        apply(server, verdicts);
        tree& caller = m_trees[id];
        if (--caller.calls_left > 0) {
            return call(id);
        }
        second().completed[caller.kind] += 1;
        second().completed_calls += kinds[caller.kind].calls;
        end_tree(id);
    }

    void end_tree(ticket id)
    {
        const tree ended = m_trees[id];
        m_trees.erase(id);
        after(feedback_delay, [this, ended, pressure = m_meters[ended.server].value(m_now)] {
            m_nodes[ended.node].on_report(base::route_id(kinds[ended.kind].route), pressure, m_now);
        });
    }

    double m_surge;
    bool m_throttled;
    std::mt19937_64 m_random;
    base::time_point m_now;
    std::vector<controller> m_leaf;
    std::vector<pressure_meter> m_meters;
    std::vector<tree_throttle> m_nodes;
    std::unordered_map<ticket, tree> m_trees;
    std::uint64_t m_last_tree = 0;
    std::uint64_t m_order = 0;
    std::priority_queue<action> m_actions;
    std::vector<second_counts> m_seconds{end_s + 1};
};

} // namespace damaskladder::admission
