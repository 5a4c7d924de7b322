#include "propagation/propagation_source.hpp"

#include "propagation/message_check.hpp"

#include <utility>

namespace damaskladder::propagation {

propagation_source::propagation_source(const propagation_options& options,
                                       std::function<settings_copy()> copy)
    : m_options(options), m_server(options, std::move(copy)), m_reports(options)
{
}

effects propagation_source::changed(base::settings_version version,
                                    const std::optional<settings_difference>& difference,
                                    base::time_point now)
{
    effects result;
    m_version = version;
    m_server.changed(version, difference);
    m_reports.latest_is(version, now);
    result.sends = m_server.take_pushes(now);
    result.version_changed = true;
    return result;
}

effects propagation_source::read_confirmed(read_id id, base::time_point now)
{
    effects result;
    if (id != m_last_read || m_reading.empty()) {
        return result;
    }
    for (const auto& [from, body] : std::exchange(m_reading, {})) {
        result.sends.push_back(
            m_server.answer(from, body, freshness{m_version, base::duration::zero()}, now));
    }
    begin_read(now, result);
    return result;
}

effects propagation_source::read_refused(read_id id, base::time_point now)
{
    effects result;
    if (id == m_last_read) {
        m_reading.clear();
        begin_read(now, result);
    }
    return result;
}

effects propagation_source::tick(base::time_point now)
{
    effects result;
    m_reports.refresh(now);
    if (!m_reading.empty() && now - m_read_began >= m_options.read_timeout) {
        m_reading.clear();
        begin_read(now, result);
    }
    return result;
}

effects propagation_source::receive(const base::node_id& from, const message& body,
                                    base::time_point now)
{
    effects result;
    if (!acceptable(body, m_options)) {
        ++m_refused;
        return result;
    }
    if (const auto* asked = std::get_if<poll>(&body)) {
        m_reports.add(from, *asked, now);
        if (m_waiting.size() < m_options.pollers || m_waiting.count(from) > 0) {
            m_waiting[from] = *asked;
        }
        if (m_reading.empty()) {
            begin_read(now, result);
        }
    }
    if (const auto* asked = std::get_if<chunk_request>(&body)) {
        std::optional<send> chunk = m_server.answer(from, *asked);
        if (chunk.has_value()) {
            result.sends.push_back(std::move(*chunk));
        }
    }
    if (const auto* told = std::get_if<report>(&body)) {
        m_reports.add(from, *told, now);
    }
    return result;
}

void propagation_source::begin_read(base::time_point now, effects& result)
{
    if (m_waiting.empty()) {
        return;
    }
    m_reading = std::exchange(m_waiting, {});
    m_last_read = read_id(m_last_read.value() + 1);
    m_read_began = now;
    result.confirm = m_last_read;
}

} // namespace damaskladder::propagation
