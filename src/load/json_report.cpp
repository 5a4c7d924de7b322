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

json workspace_json(const workspace_report& entry)
{
    return {{"name", entry.workspace.value()},      {"weight", entry.weight.value()},
            {"demand", entry.total.demand.value()}, {"goodput", entry.total.good.value()},
            {"max_min_share", entry.share},         {"ratio", entry.ratio()}};
}

json recovery_json(const recovery& entry)
{
    json document = {{"cause", entry.cause.value()},
                     {"cause_end_us", entry.cause_end.count()},
                     {"observed_until_us", entry.observed_until.count()},
                     {"time_us", nullptr}};
    if (entry.time) {
        document["time_us"] = entry.time->count();
    }
    return document;
}

} // namespace

std::string to_json(const run_report& report)
{
    json document = {{"seed", report.seed},
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
        document["seconds"].push_back(
            {{"demand", second.demand.value()}, {"goodput", second.good.value()}});
    }
    for (const auto& stream : report.streams) {
        document["streams"].push_back(stream_json(stream));
    }
    for (const auto& entry : report.workspaces) {
        document["workspaces"].push_back(workspace_json(entry));
    }
    for (const auto& entry : report.recoveries) {
        document["recoveries"].push_back(recovery_json(entry));
    }
    for (const auto& command : report.commands) {
        document["commands"].push_back({{"name", command.name.value()},
                                        {"at_us", command.at.count()},
                                        {"status", command.status}});
    }
    // Reasons are untrusted input and may contain invalid UTF-8.
    constexpr int indent = 2;
    return document.dump(indent, ' ', false, json::error_handler_t::replace) + '\n';
}

} // namespace damaskladder::load
