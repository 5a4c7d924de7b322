#pragma once

#include "propagation/effects.hpp"
#include "propagation/message.hpp"
#include "propagation/propagation_node.hpp"
#include "propagation/report_table.hpp"
#include "propagation/update_server.hpp"

#include <cstdint>
#include <vector>

namespace damaskladder::propagation {

/// A node that also serves settings to the nodes that poll it. Every node may be a relay; without
/// pollers it has no extra cost. Neither copyable nor movable, because the listener registered at
/// its own node refers to it.
class propagation_relay {
public:
    propagation_relay(const propagation_options& options, const settings_hooks& hooks,
                      base::random_source random);
    ~propagation_relay() = default;
    propagation_relay(const propagation_relay&) = delete;
    propagation_relay& operator=(const propagation_relay&) = delete;

    /// The client side, which polls the upstreams.
    propagation_node& node() { return m_node; }
    const propagation_node& node() const { return m_node; }

    effects tick(base::time_point now);
    /// Messages beyond the limits are dropped and counted.
    effects receive(const base::node_id& from, const message& body, base::time_point now);

    /// Sets the control replicas if the list is newer than the known one. Pollers are told of them.
    void learn_replicas(const replica_list& replicas);
    /// The newest list that was learned; empty before the first one.
    const replica_list& replicas() const { return m_server.replicas(); }

    std::vector<domain_report> reports() const { return m_reports.reports(); }
    std::uint64_t refused_messages() const { return m_refused; }

private:
    void handle(const base::node_id& from, const poll& body, base::time_point now);
    void handle(const base::node_id& from, const update& body, base::time_point now);
    void handle(const base::node_id& from, const chunk_request& body, base::time_point now);
    void handle(const base::node_id& from, const copy_chunk& body, base::time_point now);
    void handle(const base::node_id& from, const report& body, base::time_point now);
    void handle(const base::node_id& from, const replica_list& body, base::time_point now);
    void append(effects part);
    effects take_effects(base::time_point now);

    propagation_options m_options;
    propagation_node m_node;
    update_server m_server;
    report_table m_reports;
    base::settings_version m_report_version;
    base::time_point m_next_report{};
    effects m_effects;
    std::uint64_t m_refused = 0;
};

} // namespace damaskladder::propagation
