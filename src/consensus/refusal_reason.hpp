#pragma once

#include <cstdint>
#include <string_view>

namespace damaskladder::consensus {

/// Why a proposal, membership change or read was refused.
enum class refusal_reason : std::uint8_t {
    /// Not executed; retry at the known leader.
    not_leader,
    /// This replica is no longer the leader. A proposal may still be committed: its outcome is
    /// unknown.
    leadership_lost,
    /// Not executed; a leadership transfer is in progress.
    transferring,
    /// Not executed; the command is larger than replica_options::max_command.
    too_large,
    /// Not executed; too many bytes are uncommitted or too many reads are pending. Retry later.
    overloaded,
    /// Not executed; an earlier membership change is not committed yet. Retry later.
    change_in_progress,
    /// Not executed; the replica to be removed is not a member.
    not_a_member,
    /// Not executed; the identity is already a member.
    already_a_member,
    /// Not executed; the last voter cannot be removed or replaced.
    last_voter,
    /// Not executed; too few voters of the new configuration were heard recently to commit it.
    would_lose_quorum,
    /// Not executed; the cluster already has replica_options::max_members members.
    too_many_members,
    /// Not executed; the identity has no id or no nonce.
    invalid_identity,
    /// Storage failed. The outcome of a proposal that was already appended is unknown.
    storage_failed,
};

/// Stable lower-case name.
std::string_view to_string(refusal_reason reason);

} // namespace damaskladder::consensus
