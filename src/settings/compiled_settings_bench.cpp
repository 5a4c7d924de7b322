#include "settings/checked_settings.hpp"
#include "settings/compiled_settings.hpp"
#include "settings/fleet_settings_bench.hpp"
#include "settings/ini_reader.hpp"
#include "settings/ini_writer.hpp"
#include "settings/value_parsers.hpp"

#include <benchmark/benchmark.h>

#include <string>

namespace damaskladder::settings {
namespace {

void BM_match_route(benchmark::State& state)
{
    auto compiled = compiled_settings::compile(fleet_settings(static_cast<int>(state.range(0))));
    const std::string path = "/service5/part1/orders/2026/17";
    for (auto _ : state) {
        benchmark::DoNotOptimize(compiled->match_route(path));
    }
}
BENCHMARK(BM_match_route)->Arg(10)->Arg(190);

void BM_find_key(benchmark::State& state)
{
    auto compiled = compiled_settings::compile(fleet_settings(static_cast<int>(state.range(0))));
    auto hash = compiled->keys().back().hash;
    for (auto _ : state) {
        benchmark::DoNotOptimize(compiled->find_key(hash));
    }
}
BENCHMARK(BM_find_key)->Arg(10)->Arg(190);

void BM_compile(benchmark::State& state)
{
    auto tree = fleet_settings(static_cast<int>(state.range(0)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(compiled_settings::compile(tree));
    }
    state.counters["entries"] = static_cast<double>(tree.size());
}
BENCHMARK(BM_compile)->Arg(10)->Arg(190)->Unit(benchmark::kMicrosecond);

void BM_check_whole_tree(benchmark::State& state)
{
    auto diff = difference({}, fleet_settings(static_cast<int>(state.range(0))));
    for (auto _ : state) {
        checked_settings checked;
        benchmark::DoNotOptimize(checked.apply(diff));
    }
}
BENCHMARK(BM_check_whole_tree)->Arg(10)->Arg(190)->Unit(benchmark::kMicrosecond);

void BM_read_ini(benchmark::State& state)
{
    auto text = write_ini(fleet_settings(static_cast<int>(state.range(0))));
    for (auto _ : state) {
        benchmark::DoNotOptimize(read_ini(text, "bench"));
    }
    state.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(BM_read_ini)->Arg(10)->Arg(190)->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace damaskladder::settings
