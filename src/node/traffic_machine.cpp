#include "node/traffic_machine.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace damaskladder::node {
namespace {

/// Dispatches an event to the half of the machine that it concerns.
struct dispatcher {
    entry_machine& entry;
    gatekeeper_machine& gatekeeper;
    entry_machine::event_context& entry_context;
    gatekeeper_machine::event_context& gatekeeper_context;
    traffic_state& shared;

    void operator()(const request_arrived& received) { entry.on(received, entry_context); }
    void operator()(const onward_call_arrived& received) { entry.on(received, entry_context); }
    void operator()(const token_granted& received) { entry.on(received, entry_context); }
    void operator()(const token_refused& received) { entry.on(received, entry_context); }
    void operator()(const turn_reached& received) { entry.on(received, entry_context); }
    void operator()(const gatekeeper_refused& received) { entry.on(received, entry_context); }
    void operator()(const call_arrived& received) { gatekeeper.on(received, gatekeeper_context); }
    void operator()(const claim_granted& received) { gatekeeper.on(received, gatekeeper_context); }
    void operator()(const claim_denied& received) { gatekeeper.on(received, gatekeeper_context); }
    void operator()(const drain_requested& received)
    {
        gatekeeper.on(received, gatekeeper_context);
    }
    void operator()(const backend_state_reported& received)
    {
        gatekeeper.on(received, gatekeeper_context);
    }
    void operator()(const stop_requested& /*seen*/) { shared.stopping = true; }
    void operator()(const stop_scheduled& seen) { shared.serving_end = seen.end; }
    void operator()(const backend_refused& received)
    {
        gatekeeper.on(received, gatekeeper_context);
    }
    void operator()(const transfer_connected& received) { by_transfer(received); }
    void operator()(const connect_failed& received) { by_transfer(received); }
    void operator()(const transfer_failed& received) { by_transfer(received); }
    void operator()(const response_started& received) { by_transfer(received); }
    void operator()(const response_finished& received) { by_transfer(received); }

    void operator()(const caller_disconnected& received)
    {
        if (entry.has(received.exchange)) {
            entry.on(received, entry_context);
        }
        else {
            gatekeeper.on(received, gatekeeper_context);
        }
    }

    void operator()(const tick& received)
    {
        gatekeeper.on(received, gatekeeper_context);
        entry.on(received, entry_context);
    }

    template <class TransferEvent>
    void by_transfer(const TransferEvent& received)
    {
        if (entry.has(received.transfer)) {
            entry.on(received, entry_context);
        }
        else {
            gatekeeper.on(received, gatekeeper_context);
        }
    }
};

} // namespace

traffic_machine::traffic_machine(traffic_options options)
    : m_shared{std::move(options), {}, {}, {}}, m_entry(m_shared), m_gatekeeper(m_shared)
{
}

void traffic_machine::handle(const event& input, const node_view& view, base::time_point now,
                             std::vector<effect>& out)
{
    entry_machine::event_context entry_context{view, now, out};
    const gatekeeper_machine::cancel_onward cancel = [&](exchange_id onward) {
        m_entry.cancel_for_parent(onward, entry_context);
    };
    gatekeeper_machine::event_context gatekeeper_context{view, now, out, cancel};
    std::visit(dispatcher{m_entry, m_gatekeeper, entry_context, gatekeeper_context, m_shared},
               input);
}

std::optional<base::time_point> traffic_machine::next_deadline() const
{
    const auto entry = m_entry.next_deadline();
    const auto gatekeeper = m_gatekeeper.next_deadline();
    if (entry && gatekeeper) {
        return std::min(*entry, *gatekeeper);
    }
    return entry ? entry : gatekeeper;
}

} // namespace damaskladder::node
