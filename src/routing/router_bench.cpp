#include "routing/router.hpp"

#include <benchmark/benchmark.h>

#include <random>

namespace damaskladder::routing {
namespace {

/// One choice and one attempt end per iteration; the argument is the number of announced servers.
void choose(benchmark::State& state, bool by_completion)
{
    std::vector<backend_server> servers;
    for (std::int64_t n = 0; n < state.range(0); ++n) {
        servers.push_back({base::node_id("backend-node-" + std::to_string(n)), base::incarnation(1),
                           base::failure_domain_id("domain-" + std::to_string(n % 11)),
                           base::slot_count(40), base::slot_count(5), false});
    }
    router_options options;
    options.random = [random = std::mt19937_64(1)]() mutable { return random(); };
    options.placement.by_completion = by_completion;
    router chooser(options);
    const choice_request request{
        base::failure_domain_id("domain-1"), {}, true, base::importance::background};
    base::time_point now{};
    for (auto step : state) {
        static_cast<void>(step);
        now += std::chrono::microseconds(100);
        const auto node = chooser.choose(servers, request, now);
        chooser.on_attempt_ended(*node, base::importance::background, attempt_result::answered,
                                 now);
    }
}

void BM_choose(benchmark::State& state)
{
    choose(state, false);
}
BENCHMARK(BM_choose)->Arg(3)->Arg(22)->Arg(200);

void BM_choose_by_completion(benchmark::State& state)
{
    choose(state, true);
}
BENCHMARK(BM_choose_by_completion)->Arg(3)->Arg(22)->Arg(200);

} // namespace
} // namespace damaskladder::routing
