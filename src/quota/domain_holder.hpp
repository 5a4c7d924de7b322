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

/// One holding of a failure domain's lease: accrues the domain's part of every rate and burst from
/// empty, lends to the domain's nodes, and exchanges unused tokens with other domains' holders.
///
/// Construct it when the lease is acquired, tell it of each renewal, destroy it when the lease
/// ends. From the end of the lease on it has no effect.
class domain_holder {
public:
    domain_holder(quota_options options, holder_id self, domain_share share,
                  base::time_point lease_end, base::time_point now);

    const holder_id& self() const { return m_self; }

    /// The lease is held until `end`; it never ends earlier than told before.
    void set_lease_end(base::time_point end);

    /// Rates and bursts of the whole fleet. A version that is not newer has no effect.
    void set_quotas(base::settings_version version, const std::vector<workspace_quota>& quotas,
                    base::time_point now);

    /// The share of this domain: a decrease counts at once, an increase after a delay.
    void set_share(domain_share share, base::time_point now);

    /// The holders of the other domains, as far as they are known.
    void set_peers(std::vector<holder_id> peers, base::time_point now);

    quota_sends on_borrow(const borrow& message, base::time_point now);
    quota_sends on_transfer_request(const transfer_request& message, base::time_point now);
    quota_sends on_transfer(const transfer& message, base::time_point now);
    quota_sends on_transfer_ack(const transfer_ack& message, base::time_point now);
    quota_sends on_time(base::time_point now);

    /// Stops lending and recalls what is lent. The lease may be given up once drained().
    quota_sends stop(base::time_point now);
    bool drained(base::time_point now) const;

    base::time_point next_time(base::time_point now) const;

    /// Balance of a workspace; zero if it is unknown.
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
