#pragma once

#include "admission/call_tree_model.hpp"
#include "admission/pressure_meter.hpp"
#include "admission/tree_throttle.hpp"
#include "base/service_id.hpp"
#include "node/call_context.hpp"
#include "node/traffic_options.hpp"
#include "routing/load_report.hpp"

#include <optional>
#include <unordered_map>
#include <vector>

namespace damaskladder::node {

/// Pressure of the call trees that pass through a node, and shedding at the root by it. Shared by
/// the entry half and the gatekeeper half of a traffic machine. Does nothing unless
/// traffic_options::admit_by_call_tree is set.
class tree_admission {
public:
    explicit tree_admission(const traffic_options& options);

    /// A run of the local backend server began or ended.
    void run_started(const call_context& call, base::time_point now);
    void run_ended(const call_context& call, base::time_point now);

    /// A backend server on this VM made a call; its parent is not known if the call names none.
    void call_made(const base::route_id& downstream, base::time_point now);
    void call_made(const base::route_id& parent, const base::route_id& downstream,
                   base::time_point now);

    /// Records the pressure that a gatekeeper reported in its response to a request of this node.
    /// \param is_root whether the request is the root of its call tree.
    void on_report(const base::route_id& route, bool is_root,
                   std::optional<base::load_fraction> pressure, base::time_point now);

    /// Records the load of the local backend server of a service.
    void observe(const base::service_id& service, const std::optional<routing::load_report>& load,
                 base::time_point now);

    /// Pressure of a route at the local backend server: the highest of the server itself and of the
    /// routes that its runs of this route call. Empty if nothing is known.
    std::optional<base::load_fraction> pressure_of(const base::service_id& service,
                                                   const base::route_id& route,
                                                   base::time_point now) const;

    /// Decides whether to shed a request at the root of its call tree. Returns the Retry-After
    /// without the random part.
    std::optional<base::duration> shed(const call_context& root, base::time_point now);

    /// Root routes with the highest pressure, for metrics.
    std::vector<admission::route_pressure> highest(std::size_t count, base::time_point now) const;

private:
    bool m_enabled;
    admission::call_tree_model m_model;
    admission::tree_throttle m_throttle;
    std::unordered_map<base::service_id, admission::pressure_meter> m_servers;
    std::unordered_map<base::route_id, admission::pressure_meter> m_downstream;
};

} // namespace damaskladder::node
