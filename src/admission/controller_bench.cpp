#include "admission/controller.hpp"

#include <benchmark/benchmark.h>

#include <deque>

namespace damaskladder::admission {
namespace {

/// Offers one call and finishes one per iteration, with 40 slots, 8 workspaces and demand at three
/// times the capacity, so that the queue is full.
void BM_offer_and_finish_overloaded(benchmark::State& state)
{
    controller control{controller_options{}};
    std::vector<verdict> out;
    std::deque<ticket> running;
    base::time_point now{};
    control.announce(base::slot_count(40), false, now, out);
    std::uint64_t id = 0;
    for (auto step : state) {
        static_cast<void>(step);
        now += std::chrono::microseconds(167);
        call_request request;
        request.id = ticket(++id);
        request.workspace = base::workspace_id(std::string("workspace-") + char('a' + id % 8));
        request.importance = static_cast<base::importance>(id % 4);
        request.deadline = now + std::chrono::seconds(1);
        out.clear();
        control.offer(request, now, out);
        if (id % 3 == 0 && !running.empty()) {
            control.finished(running.front(), call_outcome::served, std::chrono::milliseconds(20),
                             now, out);
            running.pop_front();
        }
        control.expire(now, out);
        for (const auto& given : out) {
            if (given.kind == verdict_kind::start) {
                running.push_back(given.id);
            }
        }
    }
}
BENCHMARK(BM_offer_and_finish_overloaded);

} // namespace
} // namespace damaskladder::admission
