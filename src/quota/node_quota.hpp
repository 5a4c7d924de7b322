#pragma once

#include "base/call_id.hpp"
#include "base/incarnation.hpp"
#include "base/node_id.hpp"
#include "quota/lend.hpp"
#include "quota/node_bucket.hpp"
#include "quota/node_effects.hpp"
#include "quota/recall.hpp"

#include <optional>
#include <unordered_map>
#include <vector>

namespace damaskladder::quota {

/// The buckets of all workspaces at one node, which share messages to the domain's holder.
///
/// Calls append their effects to the `effects` argument. take() is the only call on the critical
/// path of a request.
class node_quota {
public:
    node_quota(quota_options options, base::node_id self, base::incarnation incarnation);

    /// Replaces all rates and bursts. Drops the tokens of removed workspaces.
    void set_quotas(const std::vector<workspace_quota>& quotas, base::time_point now,
                    node_effects& effects);

    /// Sets the holder of this domain; nullopt while there is no known holder.
    void set_holder(const std::optional<holder_id>& holder, base::time_point now,
                    node_effects& effects);

    take_answer take(const base::workspace_id& workspace, base::call_id call,
                     base::time_point deadline, base::time_point now, node_effects& effects);

    return_verdict return_token(const base::workspace_id& workspace, base::call_id call,
                                base::time_point now, node_effects& effects);

    void settle(const base::workspace_id& workspace, base::call_id call);

    void on_lend(const lend& message, base::time_point now, node_effects& effects);

    void on_recall(const recall& message, base::time_point now, node_effects& effects);

    /// Returns all tokens, because the node stops.
    void stop(base::time_point now, node_effects& effects);

    void on_time(base::time_point now, node_effects& effects);

    base::time_point next_time() const;

private:
    void flush(base::time_point now, node_effects& effects);
    void close_all(base::time_point now, node_effects& effects);

    quota_options m_options;
    base::node_id m_self;
    base::incarnation m_incarnation;
    std::optional<holder_id> m_holder;
    std::unordered_map<base::workspace_id, node_bucket> m_buckets;
};

} // namespace damaskladder::quota
