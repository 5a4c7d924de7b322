#pragma once

#include "base/settings_version.hpp"
#include "base/time.hpp"
#include "quota/borrow.hpp"
#include "quota/domain_share.hpp"
#include "quota/quota_options.hpp"
#include "quota/quota_send.hpp"
#include "quota/share_history.hpp"
#include "quota/workspace_pool.hpp"

#include <unordered_map>
#include <vector>

namespace damaskladder::quota {

/// The holder of a failure domain's lease, for one lease term. Accrues the domain's part of every
/// rate and burst, starting from zero, lends tokens to the domain's nodes, and exchanges unused
/// tokens with the holders of other domains.
///
/// Construct it when the lease is acquired, call set_lease_end() on each renewal, and destroy it
/// when the lease ends. After the end of the lease, messages and timer events have no effect.
class domain_holder {
public:
    domain_holder(quota_options options, holder_id self, domain_share share,
                  base::time_point lease_end, base::time_point now);

    const holder_id& self() const { return m_self; }

    /// Extends the lease to `end`. An earlier end than the current one has no effect.
    void set_lease_end(base::time_point end);

    /// Sets the rates and bursts of the whole fleet. A version that is not newer has no effect.
    void set_quotas(base::settings_version version, const std::vector<workspace_quota>& quotas,
                    base::time_point now);

    /// Sets the share of this domain. A decrease takes effect at once, an increase after
    /// options.share_increase_delay.
    void set_share(domain_share share, base::time_point now);

    /// Sets the known holders of the other domains.
    void set_peers(std::vector<holder_id> peers, base::time_point now);

    quota_sends on_borrow(const borrow& message, base::time_point now);
    quota_sends on_transfer_request(const transfer_request& message, base::time_point now);
    quota_sends on_transfer(const transfer& message, base::time_point now);
    quota_sends on_transfer_ack(const transfer_ack& message, base::time_point now);
    quota_sends on_time(base::time_point now);

    /// Stops lending and recalls all lent tokens. The lease may be released once drained() is true.
    quota_sends stop(base::time_point now);
    bool drained(base::time_point now) const;

    base::time_point next_time(base::time_point now) const;

    /// Balance of a workspace; zero if the workspace is unknown.
    tokens balance(const base::workspace_id& workspace) const;

private:
    bool lease_valid(base::time_point now) const { return now < m_lease_end; }
    void apply_limits(base::time_point now);
    workspace_pool* pool(const base::workspace_id& workspace);

    quota_options m_options;
    holder_id m_self;
    share_history m_shares;
    base::time_point m_lease_end;
    base::settings_version m_version;
    std::vector<holder_id> m_peers;
    std::vector<workspace_quota> m_quotas;
    std::unordered_map<base::workspace_id, workspace_pool> m_pools;
    bool m_stopped = false;
};

} // namespace damaskladder::quota
