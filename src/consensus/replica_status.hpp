#pragma once

#include "base/byte_count.hpp"
#include "consensus/configuration.hpp"
#include "consensus/log_index.hpp"
#include "consensus/member_contact.hpp"
#include "consensus/replica_identity.hpp"
#include "consensus/replica_role.hpp"
#include "consensus/term_number.hpp"

#include <optional>
#include <vector>

namespace damaskladder::consensus {

/// State of a replica, for status pages.
struct replica_status {
    replica_identity identity;
    replica_role role = replica_role::follower;
    term_number term;
    std::optional<replica_id> known_leader;
    log_index commit_index;
    log_index last_index;
    log_index snapshot_index;
    /// Size of the entries held in memory.
    base::byte_count log_size;
    configuration members;
    /// A cluster exists that does not know this identity. An operator has to add it.
    bool awaiting_admission = false;
    /// Last contact with each other member; empty unless this replica is the leader.
    std::vector<member_contact> contacts;

    /// Time of the last contact with a member; nullopt if contacts does not have it.
    std::optional<base::time_point> last_heard(const replica_id& id) const;
    /// member_contact::caught_up of a member; false if contacts does not have it.
    bool has_caught_up(const replica_id& id) const;
};

} // namespace damaskladder::consensus
