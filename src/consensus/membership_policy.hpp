#pragma once

#include "consensus/membership_change.hpp"
#include "consensus/membership_policy_options.hpp"
#include "consensus/replica_identity.hpp"
#include "consensus/replica_status.hpp"

#include <map>
#include <optional>

namespace damaskladder::consensus {

/// Decides which change of the members a leader should make so that the cluster needs no operator:
/// takes in replicas that ask for it, under the identity of their data folder, and lets go of those
/// that leave or stay silent, as long as enough others are there.
///
/// A replica whose folder was wiped asks with a new identity, which replaces the old one of the
/// same name. Its disk counts again only once it has caught up as a learner.
class membership_policy {
public:
    explicit membership_policy(membership_policy_options options = {}) : m_options(options) {}

    /// A process asks to be a member. Repeated until it is one.
    void on_join_request(const replica_identity& identity, base::time_point now);
    /// A member is about to stop.
    void on_leave_request(const replica_identity& identity, base::time_point now);

    /// The next change to ask the replica for; nothing if none is due or this one does not lead.
    std::optional<membership_change> next_change(const replica_status& status,
                                                 base::time_point now);

private:
    bool is_leaving(const replica_identity& identity) const;
    bool can_remove(const replica_status& status, const member& candidate,
                    base::time_point now) const;

    membership_policy_options m_options;
    std::map<replica_identity, base::time_point> m_joining;
    std::map<replica_identity, base::time_point> m_leaving;
};

} // namespace damaskladder::consensus
