#include "load/json_report.hpp"

#include <nlohmann/json.hpp>

namespace damaskladder::load {

namespace {

using nlohmann::json;

json latency_json(const latency_quantiles& latency)
{
    return {{"count", latency.count.value()},   {"p50_us", latency.p50.count()},
            {"p90_us", latency.p90.count()},    {"p99_us", latency.p99.count()},
            {"p99_9_us", latency.p999.count()}, {"max_us", latency.max.count()}};
}

json stream_json(const stream_report& stream)
{
    json results = json::object();
    for (const auto kind : all_result_classes) {
        results[std::string(to_string(kind))] = stream.count(kind).value();
    }
    json reasons = json::object();
    for (const auto& [reason, count] : stream.reasons) {
        reasons[reason.value()] = count.value();
    }
    return {{"name", stream.name.value()},
            {"workspace", stream.workspace.value()},
            {"demand", stream.total.demand.value()},
            {"goodput", stream.total.good.value()},
            {"attempts", stream.attempts.value()},
            {"results", results},
            {"reasons", reasons},
            {"wrongful_refusals", stream.wrongful_refusals.value()},
            {"latency", latency_json(stream.latency)}};
}

json workspace_json(const workspace_service& one)
{
    return {{"name", one.workspace.value()},      {"weight", one.weight.value()},
            {"demand", one.total.demand.value()}, {"goodput", one.total.good.value()},
            {"max_min_share", one.share},         {"ratio", one.ratio()}};
}

json recovery_json(const recovery& one)
{
    json made = {{"cause", one.cause.value()},
                 {"cause_end_us", one.cause_end.count()},
                 {"observed_until_us", one.observed_until.count()},
                 {"time_us", nullptr}};
    if (one.time) {
        made["time_us"] = one.time->count();
    }
    return made;
}

} // namespace

std::string to_json(const run_report& report)
{
    json made = {{"seed", report.seed},
                 {"duration_us", report.duration.count()},
                 {"interrupted", report.interrupted},
                 {"demand", report.total.demand.value()},
                 {"goodput", report.total.good.value()},
                 {"wrongful_refusals", report.wrongful_refusals.value()},
                 {"latency", latency_json(report.latency)},
                 {"send_delay", latency_json(report.send_delay)},
                 {"seconds", json::array()},
                 {"streams", json::array()},
                 {"workspaces", json::array()},
                 {"recoveries", json::array()},
                 {"commands", json::array()}};
    for (const auto& second : report.seconds) {
        made["seconds"].push_back(
            {{"demand", second.demand.value()}, {"goodput", second.good.value()}});
    }
    for (const auto& stream : report.streams) {
        made["streams"].push_back(stream_json(stream));
    }
    for (const auto& one : report.workspaces) {
        made["workspaces"].push_back(workspace_json(one));
    }
    for (const auto& one : report.recoveries) {
        made["recoveries"].push_back(recovery_json(one));
    }
    for (const auto& command : report.commands) {
        made["commands"].push_back({{"name", command.name.value()},
                                    {"at_us", command.at.count()},
                                    {"status", command.status}});
    }
    // Reasons come from outside and may hold bytes that are not UTF-8.
    constexpr int indent = 2;
    return made.dump(indent, ' ', false, json::error_handler_t::replace) + '\n';
}

} // namespace damaskladder::load
