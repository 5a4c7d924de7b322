#include "propagation/propagation_relay.hpp"

#include "propagation/message_check.hpp"

#include <utility>

namespace damaskladder::propagation {

propagation_relay::propagation_relay(const propagation_options& options,
                                     const settings_hooks& hooks, base::random_source random)
    : m_options(options),
      m_node(options, hooks, std::move(random)),
      m_server(options, hooks.copy),
      m_reports(options)
{
    m_node.on_change([this](const std::optional<settings_difference>& difference) {
        m_server.version_applied(m_node.version(), difference);
    });
}

effects propagation_relay::tick(base::time_point now)
{
    append(m_node.tick(now));
    if (m_node.version() != m_report_version) {
        m_report_version = m_node.version();
        m_reports.set_latest(m_report_version, now);
    }
    const bool completed = m_reports.refresh(now);
    const std::vector<domain_report> domains = m_reports.reports();
    const std::optional<peer> upstream = m_node.upstream();
    if ((completed || now >= m_next_report) && !domains.empty() && upstream.has_value()) {
        m_next_report = now + m_options.report_interval;
        m_effects.sends.push_back({*upstream, report{domains}});
    }
    return take_effects(now);
}

effects propagation_relay::receive(const base::node_id& from, const message& body,
                                   base::time_point now)
{
    if (!within_limits(body, m_options)) {
        ++m_refused;
        return take_effects(now);
    }
    std::visit([&](const auto& content) { handle(from, content, now); }, body);
    return take_effects(now);
}

void propagation_relay::handle(const base::node_id& from, const poll& body, base::time_point now)
{
    m_reports.add(from, body, now);
    std::optional<freshness> fresh;
    const std::optional<freshness_stamp>& stamp = m_node.stamp();
    if (stamp.has_value()) {
        fresh = freshness{stamp->version, stamp->staleness_bound(now)};
    }
    m_effects.sends.push_back(m_server.answer(from, body, fresh, now));
    if (auto replicas = m_server.take_replica_list(from, now)) {
        m_effects.sends.push_back(std::move(*replicas));
    }
}

void propagation_relay::handle(const base::node_id& from, const update& body, base::time_point now)
{
    append(m_node.receive(from, body, now));
}

void propagation_relay::handle(const base::node_id& from, const chunk_request& body,
                               base::time_point /*now*/)
{
    std::optional<send> chunk = m_server.answer(from, body);
    if (chunk.has_value()) {
        m_effects.sends.push_back(std::move(*chunk));
    }
}

void propagation_relay::handle(const base::node_id& from, const copy_chunk& body,
                               base::time_point now)
{
    append(m_node.receive(from, body, now));
}

void propagation_relay::handle(const base::node_id& from, const report& body, base::time_point now)
{
    m_reports.add(from, body, now);
}

void propagation_relay::handle(const base::node_id& /*from*/, const replica_list& body,
                               base::time_point /*now*/)
{
    learn_replicas(body);
}

void propagation_relay::learn_replicas(const replica_list& replicas)
{
    m_server.set_replicas(replicas);
}

void propagation_relay::append(effects part)
{
    for (send& item : part.sends) {
        m_effects.sends.push_back(std::move(item));
    }
    m_effects.version_changed = m_effects.version_changed || part.version_changed;
}

effects propagation_relay::take_effects(base::time_point now)
{
    for (send& push : m_server.take_pushes(now)) {
        m_effects.sends.push_back(std::move(push));
    }
    return std::exchange(m_effects, {});
}

} // namespace damaskladder::propagation
