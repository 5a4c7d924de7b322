#include "propagation/propagation_source.hpp"

#include "propagation/message_check.hpp"

#include <utility>

namespace damaskladder::propagation {

propagation_source::propagation_source(const propagation_options& options,
                                       std::function<settings_copy()> copy)
    : m_options(options), m_server(options, std::move(copy)), m_reports(options)
{
}

effects propagation_source::version_applied(base::settings_version version,
                                            const std::optional<settings_difference>& difference,
                                            base::time_point now)
{
    effects result;
    m_version = version;
    m_server.version_applied(version, difference);
    m_reports.set_latest(version, now);
    result.sends = m_server.take_pushes(now);
    result.version_changed = true;
    return result;
}

effects propagation_source::read_confirmed(read_id id, base::time_point now)
{
    effects result;
    if (id != m_last_read || m_polls_in_read.empty()) {
        return result;
    }
    for (const auto& [from, body] : std::exchange(m_polls_in_read, {})) {
        result.sends.push_back(
            m_server.answer(from, body, freshness{m_version, base::duration::zero()}, now));
        if (auto replicas = m_server.take_replica_list(from, now)) {
            result.sends.push_back(std::move(*replicas));
        }
    }
    start_read(now, result);
    return result;
}

effects propagation_source::read_failed(read_id id, base::time_point now)
{
    effects result;
    if (id == m_last_read) {
        abandon_read(now, result);
    }
    return result;
}

effects propagation_source::tick(base::time_point now)
{
    effects result;
    m_reports.refresh(now);
    if (!m_polls_in_read.empty() && now - m_read_started >= m_options.read_timeout) {
        abandon_read(now, result);
    }
    return result;
}

effects propagation_source::receive(const base::node_id& from, const message& body,
                                    base::time_point now)
{
    effects result;
    if (!within_limits(body, m_options)) {
        ++m_refused;
        return result;
    }
    if (const auto* asked = std::get_if<poll>(&body)) {
        m_reports.add(from, *asked, now);
        if (m_pending_polls.size() < m_options.max_pollers || m_pending_polls.count(from) > 0) {
            m_pending_polls[from] = *asked;
        }
        if (m_polls_in_read.empty()) {
            start_read(now, result);
        }
    }
    if (const auto* asked = std::get_if<chunk_request>(&body)) {
        std::optional<send> chunk = m_server.answer(from, *asked);
        if (chunk.has_value()) {
            result.sends.push_back(std::move(*chunk));
        }
    }
    if (const auto* received = std::get_if<report>(&body)) {
        m_reports.add(from, *received, now);
    }
    return result;
}

void propagation_source::abandon_read(base::time_point now, effects& result)
{
    result.unanswered_polls = m_polls_in_read.size();
    m_polls_in_read.clear();
    start_read(now, result);
}

void propagation_source::start_read(base::time_point now, effects& result)
{
    if (m_pending_polls.empty()) {
        return;
    }
    m_polls_in_read = std::exchange(m_pending_polls, {});
    m_last_read = read_id(m_last_read.value() + 1);
    m_read_started = now;
    result.confirm = m_last_read;
}

} // namespace damaskladder::propagation
