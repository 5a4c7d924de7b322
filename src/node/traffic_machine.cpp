#include "node/traffic_machine.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace damaskladder::node {
namespace {

/// Passes an event on to the part of the machine that it concerns.
struct dispatcher {
    entry_machine& entry;
    gatekeeper_machine& gatekeeper;
    entry_machine::step& entry_step;
    gatekeeper_machine::step& gatekeeper_step;
    bool& stopping;

    void operator()(const request_arrived& seen) { entry.on(seen, entry_step); }
    void operator()(const onward_call_arrived& seen) { entry.on(seen, entry_step); }
    void operator()(const tokens_granted& seen) { entry.on(seen, entry_step); }
    void operator()(const tokens_refused& seen) { entry.on(seen, entry_step); }
    void operator()(const gatekeeper_refused& seen) { entry.on(seen, entry_step); }
    void operator()(const call_arrived& seen) { gatekeeper.on(seen, gatekeeper_step); }
    void operator()(const claim_granted& seen) { gatekeeper.on(seen, gatekeeper_step); }
    void operator()(const claim_denied& seen) { gatekeeper.on(seen, gatekeeper_step); }
    void operator()(const drain_requested& seen) { gatekeeper.on(seen, gatekeeper_step); }
    void operator()(const stop_requested& /*seen*/) { stopping = true; }
    void operator()(const backend_refused& seen) { gatekeeper.on(seen, gatekeeper_step); }
    void operator()(const transfer_connected& seen) { by_transfer(seen); }
    void operator()(const connect_failed& seen) { by_transfer(seen); }
    void operator()(const transfer_broke& seen) { by_transfer(seen); }
    void operator()(const answer_started& seen) { by_transfer(seen); }
    void operator()(const answer_finished& seen) { by_transfer(seen); }

    void operator()(const caller_gone& seen)
    {
        if (entry.has(seen.exchange)) {
            entry.on(seen, entry_step);
        }
        else {
            gatekeeper.on(seen, gatekeeper_step);
        }
    }

    void operator()(const tick& seen)
    {
        gatekeeper.on(seen, gatekeeper_step);
        entry.on(seen, entry_step);
    }

    template <class TransferEvent>
    void by_transfer(const TransferEvent& seen)
    {
        if (entry.has(seen.transfer)) {
            entry.on(seen, entry_step);
        }
        else {
            gatekeeper.on(seen, gatekeeper_step);
        }
    }
};

} // namespace

traffic_machine::traffic_machine(traffic_options options)
    : m_shared{std::move(options), {}, {}, {}}, m_entry(m_shared), m_gatekeeper(m_shared)
{
}

void traffic_machine::handle(const event& happened, const node_view& view, base::time_point now,
                             std::vector<effect>& out)
{
    entry_machine::step entry_step{view, now, out};
    const gatekeeper_machine::cancel_onward cancel = [&](exchange_id onward) {
        m_entry.cancel_for_parent(onward, entry_step);
    };
    gatekeeper_machine::step gatekeeper_step{view, now, out, cancel};
    std::visit(dispatcher{m_entry, m_gatekeeper, entry_step, gatekeeper_step, m_shared.stopping},
               happened);
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
