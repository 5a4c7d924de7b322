#pragma once

#include "node/effect.hpp"
#include "node/entry_machine.hpp"
#include "node/event.hpp"
#include "node/gatekeeper_machine.hpp"
#include "node/node_view.hpp"
#include "node/traffic_options.hpp"
#include "node/traffic_state.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace damaskladder::node {

/// The state machine of all requests of a node. It consists of an entry half and a gatekeeper half.
/// damaskladder/node.hpp states its contract.
class traffic_machine {
public:
    explicit traffic_machine(traffic_options options);

    ~traffic_machine() = default;
    traffic_machine(const traffic_machine&) = delete;
    traffic_machine& operator=(const traffic_machine&) = delete;

    /// Handles one event and appends the effects that follow from it.
    void handle(const event& input, const node_view& view, base::time_point now,
                std::vector<effect>& out);

    /// When the next tick is needed; nothing while no request is in progress.
    std::optional<base::time_point> next_deadline() const;

    /// Reports that the thread that serves the requests worked for `busy` and then waited for
    /// `waited`.
    void observed_wait(base::duration busy, base::duration waited, base::time_point now)
    {
        m_shared.processor.record(busy, waited, now);
    }

    /// Requests in progress; a graceful stop is complete when there are none.
    std::size_t running() const { return m_entry.size() + m_gatekeeper.size(); }

    /// Calls in progress at the local backend servers.
    std::size_t running_at_gatekeeper() const { return m_gatekeeper.size(); }

    /// Admission controller of a local service, for metrics; null if no call for it has arrived
    /// yet.
    const admission::controller* control_of(const base::service_id& service) const
    {
        return m_gatekeeper.control_of(service);
    }

    /// Root routes with the highest pressure of their call tree, for metrics.
    std::vector<admission::route_pressure> highest_pressures(std::size_t count,
                                                             base::time_point now) const
    {
        return m_shared.trees.highest(count, now);
    }

    /// What leaves the own failure domain, for each service that was called.
    std::vector<leaving_service> leaving_services() const { return m_entry.leaving_services(); }

private:
    traffic_state m_shared;
    entry_machine m_entry;
    gatekeeper_machine m_gatekeeper;
};

} // namespace damaskladder::node
