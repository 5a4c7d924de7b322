#pragma once

#include "base/node_id.hpp"
#include "base/time.hpp"
#include "lease/lease_options.hpp"
#include "lease/lease_send.hpp"

#include <map>
#include <optional>

namespace damaskladder::lease {

/// One vote on one resource, stored in memory only.
///
/// Grants the lease to one candidate at a time, until the grant expires on the voter's clock or is
/// released. After its start, the voter abstains until every grant that its previous run may have
/// issued has expired. A restarted candidate counts as a different candidate, because its previous
/// run may be stalled rather than dead.
class lease_voter {
public:
    /// Maximum number of candidates with stored state; the lowest node id is evicted first.
    /// Eviction does not affect mutual exclusion, only the early refusal of outdated requests.
    static constexpr std::size_t max_known_candidates = 64;

    lease_voter(lease_options options, base::node_id self, lease_resource resource,
                base::time_point start);

    /// Answers a request. Requests for another resource are ignored.
    lease_effects on_request(const lease_request& request, base::time_point now);

    /// Releases the current grant if the message identifies it.
    void on_release(const lease_release& message);

private:
    struct grant {
        base::node_id candidate;
        base::incarnation incarnation;
        lease_epoch epoch;
        base::time_point until;
    };

    struct known_candidate {
        base::incarnation incarnation;
        /// Highest epoch that this incarnation released.
        lease_epoch released;
    };

    lease_verdict decide(const lease_request& request, base::time_point now) const;
    bool is_holder(const lease_request& request) const;
    base::duration retry_in(lease_verdict verdict, base::time_point now) const;
    known_candidate& record_candidate(const base::node_id& candidate,
                                      base::incarnation incarnation);

    lease_options m_options;
    base::node_id m_self;
    lease_resource m_resource;
    base::time_point m_abstain_until;
    std::optional<grant> m_grant;
    lease_epoch m_highest_epoch;
    std::map<base::node_id, known_candidate> m_candidates;
};

} // namespace damaskladder::lease
