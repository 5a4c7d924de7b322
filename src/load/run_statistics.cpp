#include "load/run_statistics.hpp"

#include "load/classify.hpp"
#include "load/max_min_share.hpp"
#include "load/rate_reason.hpp"
#include "load/recovery_time.hpp"

namespace damaskladder::load {

namespace {

constexpr request_count one{1};

} // namespace

run_statistics::run_statistics(const experiment& plan) : m_plan(plan), m_series(plan.duration)
{
    for (const auto& stream : plan.streams) {
        auto& counts = m_streams.emplace_back().counts;
        counts.name = stream.name;
        counts.workspace = stream.workspace;
    }
}

void run_statistics::due(const arrival& request)
{
    m_series.add_demand(request.due);
    of(request).counts.total.demand += one;
}

void run_statistics::sent(const arrival& request, run_offset at, bool is_first)
{
    of(request).counts.attempts += one;
    if (is_first) {
        m_send_delay.add(at - request.due);
    }
}

void run_statistics::attempt_ended(const arrival& request, const request_result& result)
{
    const bool for_rate = is_refusal(result.kind) && result.reason.value() == rate_reason;
    if (for_rate && m_plan.streams[request.stream.value()].within_rate) {
        of(request).counts.wrongful_refusals += one;
    }
}

void run_statistics::ended(const arrival& request, const request_result& result, run_offset at)
{
    auto& stream = of(request);
    stream.counts.results.at(static_cast<std::size_t>(result.kind)) += one;
    if (is_refusal(result.kind)) {
        stream.counts.reasons[result.reason] += one;
    }
    if (result.kind == result_class::success) {
        stream.counts.total.good += one;
        stream.latency.add(at - request.due);
        m_series.add_good(request.due);
        m_latency.add(at - request.due);
    }
}

void run_statistics::command_ended(const command_result& result)
{
    m_commands.push_back(result);
}

std::vector<workspace_report> run_statistics::workspaces() const
{
    std::map<base::workspace_id, workspace_report> by_name;
    for (const auto& stream : m_streams) {
        auto& service = by_name[stream.counts.workspace];
        service.workspace = stream.counts.workspace;
        service.total.demand += stream.counts.total.demand;
        service.total.good += stream.counts.total.good;
        if (const auto weight = m_plan.weights.find(service.workspace);
            weight != m_plan.weights.end()) {
            service.weight = weight->second;
        }
    }
    std::vector<workspace_report> all;
    all.reserve(by_name.size());
    for (const auto& [name, service] : by_name) {
        all.push_back(service);
    }
    compute_max_min_shares(all);
    return all;
}

run_report run_statistics::report() const
{
    run_report summary;
    summary.seed = m_plan.seed;
    summary.duration = m_plan.duration;
    summary.seconds = m_series.seconds();
    summary.total = m_series.total();
    for (const auto& stream : m_streams) {
        auto& counts = summary.streams.emplace_back(stream.counts);
        counts.latency = stream.latency.quantiles();
        summary.wrongful_refusals += counts.wrongful_refusals;
    }
    summary.workspaces = workspaces();
    summary.recoveries = recoveries(m_plan, summary.seconds);
    summary.commands = m_commands;
    summary.latency = m_latency.quantiles();
    summary.send_delay = m_send_delay.quantiles();
    return summary;
}

} // namespace damaskladder::load
