#include "node/tree_admission.hpp"

#include <algorithm>

namespace damaskladder::node {
namespace {

/// Routes are bounded by the settings; this bounds memory if they are renamed again and again.
constexpr std::size_t max_downstream = 256;

admission::pressure_meter_options reported_meter()
{
    return {.valid_for = std::chrono::seconds(2)};
}

} // namespace

tree_admission::tree_admission(const traffic_options& options)
    : m_enabled(options.admit_by_call_tree && !options.pass_through),
      m_throttle({}, options.random, options.on_shedding)
{
}

void tree_admission::run_started(const call_context& call, base::time_point now)
{
    if (m_enabled) {
        m_model.run_started(call.route, now);
    }
}

void tree_admission::run_ended(const call_context& call, base::time_point now)
{
    if (m_enabled) {
        m_model.run_ended(call.route, now);
    }
}

void tree_admission::call_made(const base::route_id& downstream, base::time_point now)
{
    if (m_enabled) {
        m_model.call_made(downstream, now);
    }
}

void tree_admission::call_made(const base::route_id& parent, const base::route_id& downstream,
                               base::time_point now)
{
    if (m_enabled) {
        m_model.call_made(parent, downstream, now);
    }
}

void tree_admission::on_report(const base::route_id& route, bool is_root,
                               std::optional<base::load_fraction> pressure, base::time_point now)
{
    if (!m_enabled || !pressure) {
        return;
    }
    if (is_root) {
        m_throttle.on_report(route, *pressure, now);
    }
    else if (m_downstream.size() < max_downstream || m_downstream.count(route) != 0) {
        m_downstream.try_emplace(route, reported_meter()).first->second.record(*pressure, now);
    }
}

void tree_admission::observe(const base::service_id& service,
                             const std::optional<routing::load_report>& load, base::time_point now)
{
    if (m_enabled && load) {
        const auto busy = static_cast<double>(load->busy.value());
        const auto limit = static_cast<double>(load->limit.value());
        m_servers[service].record(base::load_fraction(busy / limit), now);
    }
}

std::optional<base::load_fraction> tree_admission::pressure_of(const base::service_id& service,
                                                               const base::route_id& route,
                                                               base::time_point now) const
{
    if (!m_enabled) {
        return std::nullopt;
    }
    std::optional<base::load_fraction> highest;
    if (const auto own = m_servers.find(service); own != m_servers.end()) {
        highest = own->second.value(now);
    }
    for (const auto& downstream : m_model.downstream_of(route, now)) {
        if (const auto found = m_downstream.find(downstream); found != m_downstream.end()) {
            highest = std::max(highest, std::optional(found->second.value(now)));
        }
    }
    return highest;
}

std::optional<base::duration> tree_admission::shed(const call_context& root, base::time_point now)
{
    return m_enabled ? m_throttle.shed(root.route, root.importance, root.workspace, now)
                     : std::nullopt;
}

std::vector<admission::route_pressure> tree_admission::highest(std::size_t count,
                                                               base::time_point now) const
{
    return m_throttle.highest(count, now);
}

} // namespace damaskladder::node
