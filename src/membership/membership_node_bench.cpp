#include "membership/fake_fleet_test.hpp"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <optional>

namespace damaskladder::membership {
namespace {

/// Overhead of each message in bytes: sealed envelope, TCP and IP headers, and acknowledgement.
constexpr double overhead_per_message = 200;

double seconds(base::duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// Bytes per second that each node of an idle failure domain sends; it receives as many.
void BM_bytes_at_rest(benchmark::State& state)
{
    for (auto step : state) {
        fake_fleet fleet(1);
        const auto count = static_cast<std::size_t>(state.range(0));
        start_domain(fleet, count);
        for (const base::node_id& name : fleet.names()) {
            fleet.announce(name, "advice");
        }
        fleet.run(10s);
        fleet.messages = 0;
        fleet.bytes = 0;
        fleet.run(60s);
        const double node_seconds = 60.0 * static_cast<double>(count);
        const double messages = static_cast<double>(fleet.messages) / node_seconds;
        const double bytes = static_cast<double>(fleet.bytes) / node_seconds;
        state.counters["messages_per_s"] = messages;
        state.counters["bytes_per_s"] = bytes;
        state.counters["bytes_per_s_with_overhead"] = bytes + messages * overhead_per_message;
    }
}
BENCHMARK(BM_bytes_at_rest)->Arg(93)->Arg(187)->Arg(373)->Iterations(1)->Unit(benchmark::kSecond);

/// Bytes per second sent and received by a node and by a relay of an idle failure domain of the
/// given size, with ten other failure domains of two nodes each.
void BM_bytes_at_rest_with_domains(benchmark::State& state)
{
    for (auto step : state) {
        fake_fleet fleet(1);
        const auto count = static_cast<std::size_t>(state.range(0));
        start_domain(fleet, count);
        for (std::size_t domain = 1; domain <= 10; ++domain) {
            fleet.start(node_name(1'000 + 10 * domain), "d" + std::to_string(domain + 1), 100);
            fleet.start(node_name(1'001 + 10 * domain), "d" + std::to_string(domain + 1), 100);
        }
        for (const base::node_id& name : fleet.names()) {
            fleet.announce(name, "advice");
            fleet.set_subscription(name, {"advice"});
        }
        fleet.run(30s);
        fleet.sent.clear();
        fleet.received.clear();
        fleet.run(60s);
        const auto rate_of = [](const fake_fleet::traffic& totals) {
            return (static_cast<double>(totals.bytes) +
                    overhead_per_message * static_cast<double>(totals.messages)) /
                   60;
        };
        state.counters["node_sends_per_s"] = rate_of(fleet.sent[node_name(count / 2)]);
        state.counters["relay_sends_per_s"] = rate_of(fleet.sent[node_name(0)]);
        state.counters["relay_receives_per_s"] = rate_of(fleet.received[node_name(0)]);
        state.counters["node_receives_per_s"] = rate_of(fleet.received[node_name(count / 2)]);
    }
}
BENCHMARK(BM_bytes_at_rest_with_domains)->Arg(93)->Arg(187)->Arg(373)->Iterations(1);

using change = std::function<void(fake_fleet&, const base::node_id&)>;
using visible = std::function<bool(const service_view&, const base::node_id&)>;

const service_endpoint* endpoint_of(const service_view& view, const base::node_id& node)
{
    for (const service_endpoint& one : view.endpoints(base::service_id("advice"))) {
        if (one.node == node) {
            return &one;
        }
    }
    return nullptr;
}

/// Applies a change at several nodes in turn and measures the time until each view shows it.
void measure(benchmark::State& state, const change& make, const visible& shows)
{
    for (auto step : state) {
        fake_fleet fleet(2);
        fleet.net.loss_rate = static_cast<double>(state.range(0)) / 100;
        start_domain(fleet, 373);
        for (const base::node_id& name : fleet.names()) {
            fleet.announce(name, "advice");
        }
        fleet.run(10s);
        std::vector<base::duration> times;
        for (std::size_t round = 0; round < 10; ++round) {
            const base::node_id changed = node_name(5 + 34 * round);
            make(fleet, changed);
            const base::time_point begin = fleet.now;
            std::vector<base::node_id> waiting = fleet.names();
            std::erase_if(waiting, [&](const auto& name) {
                return !fleet.running(name) || fleet.at(name).self().status != member_status::alive;
            });
            while (!waiting.empty() && fleet.now - begin < 20s) {
                fleet.run(10ms);
                const std::size_t before = waiting.size();
                std::erase_if(waiting, [&](const auto& name) {
                    return name == changed || shows(*fleet.at(name).view(), changed);
                });
                times.insert(times.end(), before - waiting.size(), fleet.now - begin);
            }
            times.insert(times.end(), waiting.size(), 20s);
            fleet.run(2s);
        }
        std::sort(times.begin(), times.end());
        state.counters["p50_s"] = seconds(times[times.size() / 2]);
        state.counters["p99_s"] = seconds(times[times.size() * 99 / 100]);
        state.counters["max_s"] = seconds(times.back());
    }
}

void BM_new_known(benchmark::State& state)
{
    measure(
        state,
        [](fake_fleet& fleet, const base::node_id& name) {
            fleet.kill(name);
            fleet.run(5s);
            fleet.start(name, "d1", 101);
            fleet.announce(name, "advice");
        },
        [](const service_view& view, const base::node_id& name) {
            return endpoint_of(view, name) != nullptr;
        });
}
BENCHMARK(BM_new_known)->Arg(0)->Arg(20)->Iterations(1)->Unit(benchmark::kSecond);

void BM_draining_known(benchmark::State& state)
{
    measure(
        state,
        [](fake_fleet& fleet, const base::node_id& name) { fleet.announce(name, "advice", true); },
        [](const service_view& view, const base::node_id& name) {
            const service_endpoint* found = endpoint_of(view, name);
            return found != nullptr && found->backend.draining;
        });
}
BENCHMARK(BM_draining_known)->Arg(0)->Arg(20)->Iterations(1)->Unit(benchmark::kSecond);

void BM_leaving_known(benchmark::State& state)
{
    measure(
        state,
        [](fake_fleet& fleet, const base::node_id& name) {
            fleet.perform(name, fleet.at(name).leave(fleet.now));
        },
        [](const service_view& view, const base::node_id& name) {
            return endpoint_of(view, name) == nullptr;
        });
}
BENCHMARK(BM_leaving_known)->Arg(0)->Arg(20)->Iterations(1)->Unit(benchmark::kSecond);

void BM_dead_known(benchmark::State& state)
{
    measure(
        state, [](fake_fleet& fleet, const base::node_id& name) { fleet.kill(name); },
        [](const service_view& view, const base::node_id& name) {
            return endpoint_of(view, name) == nullptr;
        });
}
BENCHMARK(BM_dead_known)->Arg(0)->Arg(20)->Iterations(1)->Unit(benchmark::kSecond);

/// Number of false deaths and refutations among 373 nodes during one hour of 20% message loss; both
/// must be zero.
void BM_false_deaths_in_an_hour(benchmark::State& state)
{
    for (auto step : state) {
        fake_fleet fleet(3);
        start_domain(fleet, 373);
        fleet.run(10s);
        fleet.net.loss_rate = 0.2;
        std::size_t deaths = 0;
        for (int second = 0; second < 3'600; ++second) {
            fleet.run(1s);
            for (const base::node_id& name : fleet.names()) {
                deaths += 373 - fleet.at(name).members().alive_count();
            }
        }
        std::uint64_t refutations = 0;
        for (const base::node_id& name : fleet.names()) {
            refutations += fleet.at(name).self().incarnation.value() - 100;
        }
        state.counters["deaths"] = static_cast<double>(deaths);
        state.counters["refutations"] = static_cast<double>(refutations);
    }
}
BENCHMARK(BM_false_deaths_in_an_hour)->Iterations(1)->Unit(benchmark::kSecond);

/// Processor time of one node with 373 members over 60 s of simulated time, including the fake
/// network.
void BM_processor_share_at_rest(benchmark::State& state)
{
    fake_fleet fleet(4);
    start_domain(fleet, 373);
    fleet.run(10s);
    for (auto step : state) {
        fleet.run(60s);
    }
    state.counters["processor_s_per_node_s"] =
        benchmark::Counter(373.0 * 60.0 * static_cast<double>(state.iterations()),
                           benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(BM_processor_share_at_rest)->Iterations(2)->Unit(benchmark::kSecond);

} // namespace
} // namespace damaskladder::membership
