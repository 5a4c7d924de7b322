#include "quota/domain_holder.hpp"
#include "quota/node_quota.hpp"

#include <benchmark/benchmark.h>

namespace damaskladder::quota {
namespace {

const base::workspace_id workspace("w");
const holder_id self{base::node_id("h"), base::incarnation(1), lease::lease_epoch(1)};
const workspace_quota quota{workspace, token_rate(1'000'000 * one_token.value()),
                            one_token * 1'000'000};

/// take() with a token available, and settle().
void BM_take(benchmark::State& state)
{
    base::time_point now(std::chrono::seconds(10));
    node_bucket bucket({}, quota, now);
    bucket.take(base::call_id(0), now + std::chrono::seconds(1), now);
    const auto line = bucket.make_line(now);
    wait_endings endings;
    bucket.on_lend(
        {workspace, line.session, line.sequence, max_tokens, std::chrono::hours(100), {}}, now,
        endings);
    std::uint64_t call = 0;
    for (auto _ : state) {
        ++call;
        // The latest 100 calls are in flight, all earlier ones are settled.
        now += std::chrono::microseconds(100);
        const auto answer = bucket.take(base::call_id(call), now + std::chrono::seconds(1), now);
        benchmark::DoNotOptimize(answer);
        bucket.settle(base::call_id(call - std::min<std::uint64_t>(call, 100)));
    }
}
BENCHMARK(BM_take);

/// The same through node_quota, including the lookup of the workspace.
void BM_take_of_workspace(benchmark::State& state)
{
    base::time_point now(std::chrono::seconds(10));
    node_quota node({}, base::node_id("n"), base::incarnation(1));
    node_effects effects;
    node.set_quotas({quota}, now, effects);
    node.set_holder(self, now, effects);
    node.take(workspace, base::call_id(0), now + std::chrono::seconds(1), now, effects);
    const auto& line = std::get<borrow>(effects.sends[0].message).lines[0];
    node.on_lend(
        {self,
         base::incarnation(1),
         {{workspace, line.session, line.sequence, max_tokens, std::chrono::hours(100), {}}}},
        now, effects);
    std::uint64_t call = 0;
    for (auto _ : state) {
        ++call;
        now += std::chrono::microseconds(1);
        effects.sends.clear();
        const auto answer =
            node.take(workspace, base::call_id(call), now + std::chrono::seconds(1), now, effects);
        benchmark::DoNotOptimize(answer);
        node.settle(workspace, base::call_id(call));
    }
}
BENCHMARK(BM_take_of_workspace);

/// One borrow line and its lend line, with the given number of nodes.
void BM_lend(benchmark::State& state)
{
    base::time_point now(std::chrono::seconds(10));
    domain_holder holder({}, self, {share_point(0), share_point(1'000'000)},
                         now + std::chrono::hours(100), now);
    holder.set_quotas(base::settings_version(1), {quota}, now);
    const auto nodes = static_cast<std::uint64_t>(state.range(0));
    std::vector<borrow_line> lines(nodes);
    for (auto& line : lines) {
        line.workspace = workspace;
        line.session = session_number(1);
    }
    std::vector<base::node_id> ids;
    for (std::uint64_t i = 0; i < nodes; ++i) {
        ids.emplace_back("node-" + std::to_string(i));
    }
    std::uint64_t next = 0;
    for (auto _ : state) {
        now += std::chrono::microseconds(200);
        auto& line = lines[next % nodes];
        line.sequence = base::sequence_number(line.sequence.value() + 1);
        line.used_total = line.received_total;
        line.demand = one_token * 10;
        auto sends = holder.on_borrow({ids[next % nodes], base::incarnation(1), self, {line}}, now);
        line.received_total = std::get<lend>(sends.back().message).lines[0].lent_total;
        ++next;
    }
}
BENCHMARK(BM_lend)->Arg(1)->Arg(40)->Arg(373);

} // namespace
} // namespace damaskladder::quota
