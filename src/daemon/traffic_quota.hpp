#pragma once

#include "base/random_source.hpp"
#include "node/event.hpp"
#include "node/request_token.hpp"
#include "node/return_token.hpp"
#include "quota/node_quota.hpp"

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace damaskladder::daemon {

/// Manages the rate tokens of a node on the traffic thread: answers token requests of the traffic
/// state machine from the node's buckets and exchanges messages with the holder of the failure
/// domain.
class traffic_quota {
public:
    struct hooks {
        /// Delivers an event to the traffic state machine.
        std::function<void(const node::event&)> deliver;
        /// Sends a message through the control thread.
        std::function<void(const quota::quota_send&)> send;
    };

    traffic_quota(base::node_id self, base::incarnation incarnation, hooks callbacks);

    void acquire(const node::request_token& wanted, base::time_point now);
    void refund(const node::return_token& wanted, base::time_point now);
    /// Reports the end of an exchange. Its token is spent unless it was returned.
    void exchange_ended(node::exchange_id exchange);

    void receive(const quota::quota_message& message, base::time_point now);
    void set_quotas(const std::vector<quota::workspace_quota>& quotas, base::time_point now);
    void set_holder(const std::optional<quota::holder_id>& holder, base::time_point now);
    /// Returns all tokens.
    void stop(base::time_point now);

    /// Performs due work and returns the time of the next call.
    std::optional<base::time_point> round(base::time_point now);

private:
    struct charge {
        node::exchange_id exchange;
        base::workspace_id workspace;
    };

    void perform(const quota::node_effects& effects);
    void answer(base::call_id call, const quota::take_answer& answer);

    hooks m_hooks;
    quota::node_quota m_buckets;
    std::uint64_t m_last_call = 0;
    /// Tokens that are taken or waited for, by the call id given to the buckets, which is also the
    /// grant id given to the traffic state machine.
    std::unordered_map<base::call_id, charge> m_charges;
    std::unordered_map<node::exchange_id, base::call_id> m_by_exchange;
};

} // namespace damaskladder::daemon
