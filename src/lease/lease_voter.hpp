#pragma once

#include "base/node_id.hpp"
#include "base/time.hpp"
#include "lease/lease_options.hpp"
#include "lease/lease_send.hpp"

#include <map>
#include <optional>

namespace damaskladder::lease {

/// One vote over one resource, kept in memory only.
///
/// Grants to one candidate at a time, until the grant ended on the voter's clock or was given up.
/// After its own start it abstains until every grant that an earlier run may have given has ended.
/// A restarted candidate counts as another candidate: its earlier run may be stalled, not dead.
class lease_voter {
public:
    /// What is remembered of candidates is kept for this many; the lowest node id is forgotten
    /// first. Forgetting costs no exclusion, only the early refusal of outdated asks.
    static constexpr std::size_t max_known_candidates = 64;

    lease_voter(lease_options options, base::node_id self, lease_resource resource,
                base::time_point start);

    /// Answers an ask. Asks for another resource have no effect.
    lease_effects on_request(const lease_request& request, base::time_point now);

    /// Frees the grant if it is the one named.
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
        /// Largest epoch that this incarnation gave up.
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
