#include "load/text_report.hpp"

#include <algorithm>
#include <iomanip>

namespace damaskladder::load {

namespace {

double in_ms(base::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

double in_s(base::duration time)
{
    return std::chrono::duration<double>(time).count();
}

double percent(request_count part, request_count whole)
{
    constexpr double hundred = 100;
    return whole.value() == 0
               ? hundred
               : hundred * static_cast<double>(part.value()) / static_cast<double>(whole.value());
}

void write_latency(std::ostream& out, std::string_view name, const latency_quantiles& latency)
{
    out << std::setprecision(2) << name << " ms: p50 " << in_ms(latency.p50) << ", p90 "
        << in_ms(latency.p90) << ", p99 " << in_ms(latency.p99) << ", p99.9 " << in_ms(latency.p999)
        << ", max " << in_ms(latency.max) << " (" << latency.count << " samples)\n";
}

void write_stream(std::ostream& out, const stream_report& stream)
{
    out << "stream " << stream.name << " (workspace " << stream.workspace << "): demand "
        << stream.total.demand << ", whole " << stream.total.good << " (" << std::setprecision(1)
        << percent(stream.total.good, stream.total.demand) << "%), attempts " << stream.attempts
        << '\n';
    for (const auto kind : all_result_classes) {
        if (kind != result_class::success && stream.count(kind) > request_count(0)) {
            out << "  " << to_string(kind) << ' ' << stream.count(kind) << '\n';
        }
    }
    for (const auto& [reason, count] : stream.reasons) {
        out << "  reason " << (reason.value().empty() ? "(none)" : reason.value()) << ' ' << count
            << '\n';
    }
    if (stream.wrongful_refusals > request_count(0)) {
        out << "  wrongful refusals " << stream.wrongful_refusals << '\n';
    }
    write_latency(out, "  latency", stream.latency);
}

void write_recovery(std::ostream& out, const recovery& entry)
{
    out << "recovery after " << entry.cause << " (ended at " << std::setprecision(1)
        << in_s(entry.cause_end) << " s, observed until " << in_s(entry.observed_until) << " s): ";
    if (entry.time) {
        out << in_s(*entry.time) << " s\n";
    }
    else {
        out << "none\n";
    }
}

void write_workspaces(std::ostream& out, const std::vector<workspace_report>& workspaces)
{
    const auto worst =
        std::min_element(workspaces.begin(), workspaces.end(),
                         [](const auto& a, const auto& b) { return a.ratio() < b.ratio(); });
    if (worst != workspaces.end()) {
        out << "worst-served workspace: " << worst->workspace << ", " << std::setprecision(3)
            << worst->ratio() << " of its max-min share (" << worst->total.good << " of "
            << std::setprecision(0) << worst->share << ", demand " << worst->total.demand << ")\n";
    }
}

} // namespace

void write_text(std::ostream& out, const run_report& report)
{
    const auto flags = out.flags();
    const auto precision = out.precision();
    out << std::fixed << std::setprecision(0) << "duration " << in_s(report.duration) << " s, seed "
        << report.seed << (report.interrupted ? ", interrupted" : "") << '\n'
        << "demand " << report.total.demand << ", goodput " << report.total.good << " ("
        << std::setprecision(1) << percent(report.total.good, report.total.demand) << "%), "
        << static_cast<double>(report.total.good.value()) / in_s(report.duration)
        << " requests/s\n";
    write_latency(out, "latency", report.latency);
    write_latency(out, "send delay", report.send_delay);
    for (const auto& entry : report.recoveries) {
        write_recovery(out, entry);
    }
    write_workspaces(out, report.workspaces);
    out << "wrongful refusals: " << report.wrongful_refusals << '\n';
    for (const auto& command : report.commands) {
        out << "command " << command.name << " at " << std::setprecision(1) << in_s(command.at)
            << " s: status " << command.status << '\n';
    }
    for (const auto& stream : report.streams) {
        write_stream(out, stream);
    }
    out.flags(flags);
    out.precision(precision);
}

} // namespace damaskladder::load
