#pragma once

#include "claims/abandoned_attempts.hpp"
#include "claims/claim_client.hpp"
#include "daemon/messenger.hpp"
#include "daemon/process_settings.hpp"
#include "daemon/replica_host.hpp"
#include "node/complete_claim.hpp"
#include "node/event.hpp"
#include "node/release_claim.hpp"
#include "node/request_claim.hpp"
#include "wire/claim_command.hpp"
#include "wire/claim_response.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace damaskladder::daemon {

/// Claims of non-idempotent requests, on the control thread: the gatekeeper's side of this node,
/// and the way into the replicated log where this process runs a replica.
class claims_host {
public:
    struct hooks {
        /// Gives an event to the traffic decisions. Null where this process runs no node.
        std::function<void(const node::event&)> deliver;
    };

    /// replica is null where this process runs none.
    claims_host(http::event_loop& loop, messenger& messages, const process_settings& settings,
                replica_host* replica, hooks calls);

    void start() { tick(); }
    void ask(const node::request_claim& wanted);
    void release(const node::release_claim& wanted);
    void complete(const node::complete_claim& wanted);

private:
    using submission = decltype(wire::claim_command::submission);

    void tick();
    void perform(const claims::claim_effects& effects);
    void report(const claims::claim_outcome& outcome);
    void submit(const submission& wanted);
    void receive(const wire::claim_response& answer);
    void receive(const wire::claim_command& command, bool passed_on);
    void send(const base::node_id& replica, const wire::claim_command& command);
    void answer(const wire::claim_command& command, const wire::claim_response& text);
    void choose_replica(base::time_point now);

    http::event_loop& m_loop;
    messenger& m_messages;
    const process_settings& m_settings;
    replica_host* m_replica;
    hooks m_hooks;
    claims::claim_client m_client;
    claims::abandoned_attempts m_abandoned;
    std::vector<base::node_id> m_replicas;
    /// Position in m_replicas of the one that gets submissions.
    std::size_t m_target = 0;
    /// Time of the oldest submission since the last answer.
    std::optional<base::time_point> m_unanswered_since;
};

} // namespace damaskladder::daemon
