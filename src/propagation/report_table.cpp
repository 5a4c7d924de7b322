#include "propagation/report_table.hpp"

#include <algorithm>
#include <optional>

namespace damaskladder::propagation {

report_table::report_table(const propagation_options& options)
    : m_window(options.report_window),
      m_max_pollers(options.max_pollers),
      m_max_reporters(options.max_reporters),
      m_max_domains(options.max_domains)
{
}

void report_table::add(const base::node_id& from, const poll& body, base::time_point now)
{
    if (m_polls.size() < m_max_pollers || m_polls.count(from) > 0) {
        m_polls[from] = {body.domain, body.applied_version, now};
    }
}

void report_table::add(const base::node_id& from, const report& body, base::time_point now)
{
    if (m_reports.size() < m_max_reporters || m_reports.count(from) > 0) {
        m_reports[from] = {body, now};
    }
}

void report_table::set_latest(base::settings_version version, base::time_point now)
{
    m_latest = version;
    m_latest_since = now;
    m_rollout_times.clear();
}

bool report_table::refresh(base::time_point now)
{
    const auto expired = [&](const auto& item) { return now - item.second.received_at > m_window; };
    std::erase_if(m_polls, expired);
    std::erase_if(m_reports, expired);
    m_merged.clear();
    for (const auto& [node, received] : m_polls) {
        merge({received.domain, 1, received.version, received.version});
    }
    for (const auto& [node, received] : m_reports) {
        for (const domain_report& part : received.body.domains) {
            merge(part);
        }
    }
    bool completed = false;
    for (const auto& [domain, merged] : m_merged) {
        if (merged.oldest >= m_latest) {
            completed = m_rollout_times.emplace(domain, now - m_latest_since).second || completed;
        }
    }
    return completed;
}

void report_table::merge(const domain_report& part)
{
    auto found = m_merged.find(part.domain);
    if (found == m_merged.end()) {
        if (m_merged.size() < m_max_domains) {
            m_merged.emplace(part.domain, part);
        }
        return;
    }
    domain_report& merged = found->second;
    merged.nodes += part.nodes;
    merged.newest = std::max(merged.newest, part.newest);
    merged.oldest = std::min(merged.oldest, part.oldest);
}

std::vector<domain_report> report_table::reports() const
{
    std::vector<domain_report> result;
    for (const auto& item : m_merged) {
        result.push_back(item.second);
    }
    return result;
}

std::vector<domain_status> report_table::statuses() const
{
    std::vector<domain_status> result;
    for (const auto& [domain, merged] : m_merged) {
        auto rollout = m_rollout_times.find(domain);
        result.push_back({merged, rollout == m_rollout_times.end()
                                      ? std::nullopt
                                      : std::optional(rollout->second)});
    }
    return result;
}

} // namespace damaskladder::propagation
