#include "propagation/report_table.hpp"

#include <algorithm>
#include <optional>

namespace damaskladder::propagation {

report_table::report_table(const propagation_options& options)
    : m_window(options.report_window),
      m_most_pollers(options.pollers),
      m_most_reporters(options.reporters),
      m_most_domains(options.domains)
{
}

void report_table::add(const base::node_id& from, const poll& body, base::time_point now)
{
    if (m_polls.size() < m_most_pollers || m_polls.count(from) > 0) {
        m_polls[from] = {body.domain, body.in_force, now};
    }
}

void report_table::add(const base::node_id& from, const report& body, base::time_point now)
{
    if (m_reports.size() < m_most_reporters || m_reports.count(from) > 0) {
        m_reports[from] = {body, now};
    }
}

void report_table::latest_is(base::settings_version version, base::time_point now)
{
    m_latest = version;
    m_latest_since = now;
    m_took.clear();
}

bool report_table::refresh(base::time_point now)
{
    const auto old = [&](const auto& item) { return now - item.second.at > m_window; };
    std::erase_if(m_polls, old);
    std::erase_if(m_reports, old);
    m_merged.clear();
    for (const auto& [node, seen] : m_polls) {
        merge({seen.domain, 1, seen.version, seen.version});
    }
    for (const auto& [node, seen] : m_reports) {
        for (const domain_report& part : seen.body.domains) {
            merge(part);
        }
    }
    bool completed = false;
    for (const auto& [domain, merged] : m_merged) {
        if (merged.oldest >= m_latest) {
            completed = m_took.emplace(domain, now - m_latest_since).second || completed;
        }
    }
    return completed;
}

void report_table::merge(const domain_report& part)
{
    auto found = m_merged.find(part.domain);
    if (found == m_merged.end()) {
        if (m_merged.size() < m_most_domains) {
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
    std::vector<domain_report> all;
    for (const auto& item : m_merged) {
        all.push_back(item.second);
    }
    return all;
}

std::vector<domain_status> report_table::statuses() const
{
    std::vector<domain_status> all;
    for (const auto& [domain, merged] : m_merged) {
        auto took = m_took.find(domain);
        all.push_back({merged, took == m_took.end() ? std::nullopt : std::optional(took->second)});
    }
    return all;
}

} // namespace damaskladder::propagation
