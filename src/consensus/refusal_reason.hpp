#pragma once

#include <cstdint>
#include <string_view>

namespace damaskladder::consensus {

/// Why a proposal, membership change or read was refused.
enum class refusal_reason : std::uint8_t {
    /// Did not happen; ask the known leader.
    not_leader,
    /// The replica lost its office. A proposal may yet be committed: its outcome is unknown.
    leadership_lost,
    /// Did not happen; the leader is handing over.
    transferring,
    /// Did not happen; the command is larger than replica_options::max_command.
    too_large,
    /// Did not happen; too much is uncommitted or too many reads wait. Try again later.
    overloaded,
    /// Did not happen; an earlier membership change is not committed yet. Try again later.
    change_in_progress,
    /// Did not happen; the replica to be removed is no member.
    not_a_member,
    /// Did not happen; the identity is a member already.
    already_a_member,
    /// Did not happen; the last voter cannot be removed or replaced.
    last_voter,
    /// Did not happen; too few voters of the changed configuration were heard lately to commit it.
    would_lose_quorum,
    /// Did not happen; the cluster has replica_options::max_members members.
    too_many_members,
    /// Did not happen; the identity has no id or no nonce.
    invalid_identity,
    /// Storage failed. A proposal that had been appended has an unknown outcome.
    storage_failed,
};

/// Stable lower-case name.
std::string_view to_string(refusal_reason reason);

} // namespace damaskladder::consensus
