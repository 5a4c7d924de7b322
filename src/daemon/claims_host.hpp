#pragma once

#include "claims/abandoned_attempts.hpp"
#include "claims/claim_client.hpp"
#include "daemon/messenger.hpp"
#include "daemon/process_settings.hpp"
#include "daemon/replica_directory.hpp"
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

/// Runs the claims of non-idempotent requests on the control thread: the claim client for the
/// gatekeeper of this node, and, where this process runs a control replica, the submission of claim
/// commands to the replicated log.
class claims_host {
public:
    struct hooks {
        /// Delivers an event to the traffic state machine. Null if this process runs no node.
        std::function<void(const node::event&)> deliver;
    };

    /// replica is null if this process runs no control replica.
    claims_host(http::event_loop& loop, messenger& messages, const process_settings& settings,
                const replica_directory& directory, replica_host* replica, hooks callbacks);

    void start();
    void acquire(const node::request_claim& wanted);
    void release(const node::release_claim& wanted);
    void complete(const node::complete_claim& wanted);

private:
    using submission = decltype(wire::claim_command::submission);

    void perform(const claims::claim_effects& effects);
    void report(const claims::claim_outcome& outcome);
    void submit(const submission& wanted);
    void receive(const wire::claim_response& answer);
    void receive(const wire::claim_command& command, bool passed_on);
    void send(const base::node_id& replica, const wire::claim_command& command);
    void answer(const wire::claim_command& command, const wire::claim_response& text);
    void choose_replica(base::time_point now);
    /// Known replicas; this process first if it runs one.
    std::vector<base::node_id> replica_names() const;

    http::event_loop& m_loop;
    messenger& m_messages;
    const process_settings& m_settings;
    const replica_directory& m_directory;
    replica_host* m_replica;
    hooks m_hooks;
    claims::claim_client m_client;
    claims::abandoned_attempts m_abandoned;
    /// Position of the replica that receives submissions in replica_names(), modulo their number.
    std::size_t m_target = 0;
    /// Time of the first submission after the last reply; unset if none is outstanding.
    std::optional<base::time_point> m_unanswered_since;
};

} // namespace damaskladder::daemon
