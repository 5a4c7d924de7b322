#include "propagation/fake_settings_fleet_test.hpp"

#include <benchmark/benchmark.h>

#include <algorithm>

namespace damaskladder::propagation {
namespace {

/// Bytes per message in addition to its encoding: the sealed envelope, the TCP and IP headers and
/// the acknowledgement.
constexpr double overhead_per_message = 200;

double seconds(base::duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// Time from acceptance of a change until it is applied, over all nodes and 20 changes, with two
/// levels of relays; and the bytes per node of a change and of an idle second. Arguments: number of
/// nodes, message loss in percent.
void BM_change_in_force(benchmark::State& state)
{
    for (auto step : state) {
        fake_settings_fleet fleet(1);
        start_two_levels(fleet, static_cast<std::size_t>(state.range(0)));
        fleet.accept();
        fleet.run(10s);
        fleet.loss = static_cast<double>(state.range(1)) / 100;
        const auto count = static_cast<double>(fleet.nodes().size());
        const auto cost = [&] {
            return (static_cast<double>(fleet.bytes) +
                    overhead_per_message * static_cast<double>(fleet.messages)) /
                   count;
        };
        fleet.bytes = 0;
        fleet.messages = 0;
        fleet.run(20s);
        const double at_rest = cost() / 20;
        fleet.bytes = 0;
        fleet.messages = 0;
        std::vector<base::duration> times;
        for (int change = 0; change < 20; ++change) {
            fleet.accept();
            const base::time_point begin = fleet.now;
            std::size_t outdated_nodes = fleet.outdated_nodes();
            while (fleet.now - begin < 10s) {
                fleet.run(10ms);
                const std::size_t still = fleet.outdated_nodes();
                times.insert(times.end(), outdated_nodes - still, fleet.now - begin);
                outdated_nodes = still;
            }
            times.insert(times.end(), outdated_nodes, 10s);
        }
        std::sort(times.begin(), times.end());
        state.counters["p50_s"] = seconds(times[times.size() / 2]);
        state.counters["p99_s"] = seconds(times[times.size() * 99 / 100]);
        state.counters["max_s"] = seconds(times.back());
        state.counters["bytes_at_rest_per_s"] = at_rest;
        state.counters["bytes_per_change"] = (cost() - at_rest * 200) / 20;
    }
}
BENCHMARK(BM_change_in_force)
    ->Args({93, 0})
    ->Args({187, 0})
    ->Args({373, 0})
    ->Args({373, 20})
    ->Iterations(1)
    ->Unit(benchmark::kSecond);

} // namespace
} // namespace damaskladder::propagation
