#include "daemon/traffic_metrics.hpp"

#include <sstream>

namespace damaskladder::daemon {

namespace {

// 24 buckets from 50 us to 100 s, three for each factor of about 6.
constexpr unsigned bucket_count = 24;
constexpr double min_s = 50e-6;
constexpr double max_s = 100;

void write_refusals(std::ostream& out, const std::map<node::refusal_reason, std::uint64_t>& counts,
                    std::string_view reported_outcome)
{
    for (const auto& [reason, count] : counts) {
        out << "damaskladder_refusals_total{reason=\"" << to_string(reason) << "\",outcome=\""
            << reported_outcome << "\"} " << count << '\n';
    }
}

} // namespace

traffic_metrics::traffic_metrics()
    : m_times(boost::histogram::make_histogram(time_axis(bucket_count, min_s, max_s)))
{
}

void traffic_metrics::request_ended(base::duration elapsed)
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    m_times(seconds);
    m_time_sum_s += seconds;
    ++m_ended;
}

void traffic_metrics::refused(node::refusal_reason reason, node::outcome reported_outcome)
{
    auto& counts =
        reported_outcome == node::outcome::not_run ? m_refused_not_run : m_refused_unknown;
    ++counts[reason];
}

std::string traffic_metrics::text(const waiting_requests& waiting) const
{
    std::ostringstream out;
    out << "# TYPE damaskladder_request_seconds histogram\n";
    double below = m_times.at(-1);
    for (const auto& bin : boost::histogram::indexed(m_times)) {
        below += *bin;
        out << "damaskladder_request_seconds_bucket{le=\"" << bin.bin().upper() << "\"} " << below
            << '\n';
    }
    out << "damaskladder_request_seconds_bucket{le=\"+Inf\"} " << m_ended << '\n'
        << "damaskladder_request_seconds_sum " << m_time_sum_s << '\n'
        << "damaskladder_request_seconds_count " << m_ended << '\n'
        << "# TYPE damaskladder_calls_forwarded_total counter\n"
        << "damaskladder_calls_forwarded_total " << m_forwarded << '\n'
        << "# TYPE damaskladder_runs_started_total counter\n"
        << "damaskladder_runs_started_total " << m_runs << '\n'
        << "# TYPE damaskladder_waiting_requests gauge\n"
        << "damaskladder_waiting_requests " << waiting.count << '\n'
        << "# TYPE damaskladder_waiting_bytes gauge\n"
        << "damaskladder_waiting_bytes " << waiting.bytes << '\n'
        << "# TYPE damaskladder_refusals_total counter\n";
    write_refusals(out, m_refused_not_run, "not-run");
    write_refusals(out, m_refused_unknown, "unknown");
    return out.str();
}

} // namespace damaskladder::daemon
