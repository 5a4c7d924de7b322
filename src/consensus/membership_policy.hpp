#pragma once

#include "consensus/membership_change.hpp"
#include "consensus/membership_policy_options.hpp"
#include "consensus/refusal_reason.hpp"
#include "consensus/replica_identity.hpp"
#include "consensus/replica_status.hpp"

#include <map>
#include <optional>

namespace damaskladder::consensus {

/// Chooses the next membership change that a leader should request, so that the cluster needs no
/// operator: adds replicas that ask to join, under the identity of their data folder, and removes
/// members that announce their stop or are silent, as long as enough other voters remain.
///
/// A silent voter is removed early if a learner has caught up and can take its place. The leader
/// promotes the learner only after that, so that no quorum counts on both: until the learner itself
/// has lasted, the other voters alone must be a quorum.
///
/// A replica whose folder was wiped asks to join with a new identity, which replaces the old one
/// with the same id. It counts towards a quorum again only after it has caught up as a learner.
class membership_policy {
public:
    explicit membership_policy(membership_policy_options options = {}) : m_options(options) {}

    /// A replica asks to become a member. It repeats the request until it is one. A request takes
    /// the place of an earlier one with the same id and another nonce, whose folder is gone.
    void on_join_request(const replica_identity& identity, base::time_point now);
    /// A member announces that it is about to stop.
    void on_leave_request(const replica_identity& identity, base::time_point now);

    /// The leader refused the change that next_change returned. Returns true if it did not refuse
    /// the same change for the same reason before, so that the caller logs each refusal once.
    bool on_refused(const membership_change& change, refusal_reason reason, base::time_point now);

    /// Returns the next change to request, or nullopt if none is due or this replica is not the
    /// leader. Removals come before additions, and a change that was refused comes again only after
    /// options.refusal_backoff, so that it holds up no other.
    std::optional<membership_change> next_change(const replica_status& status,
                                                 base::time_point now);

private:
    struct refusal {
        refusal_reason reason;
        base::time_point at;
    };

    struct join_request {
        identity_nonce nonce;
        base::time_point at;
    };

    void drop_expired(base::time_point now);
    /// Whether the change was refused lately for a reason that does not pass by itself.
    bool is_deferred(const membership_change& change, base::time_point now) const;
    bool is_leaving(const replica_identity& identity) const;
    /// Whether a learner can take the place of a voter.
    bool has_successor(const replica_status& status) const;
    bool can_remove(const replica_status& status, const member& candidate,
                    base::time_point now) const;

    membership_policy_options m_options;
    std::map<replica_id, join_request> m_joining;
    std::map<replica_identity, base::time_point> m_leaving;
    /// By the identity to be added, or by the id to be removed without a nonce.
    std::map<replica_identity, refusal> m_refused;
};

} // namespace damaskladder::consensus
