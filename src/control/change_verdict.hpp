#pragma once

#include <cstdint>
#include <string_view>

namespace damaskladder::control {

/// What became of an operator's command.
enum class change_verdict : std::uint8_t {
    /// In force.
    accepted,
    /// Nothing to change: the settings are already as asked for.
    unchanged,
    /// A proposal waits for approval.
    pending,
    /// The subtree has another version than the one named.
    conflict,
    /// The settings do not pass the checks.
    invalid,
    /// The command itself is out of bounds.
    malformed,
    permission_denied,
    /// The subtree has a reviewer; propose the change instead.
    review_required,
    /// No such proposal, key or credential.
    not_found,
    /// The proposal was approved, refused or has expired.
    closed,
    /// A credential with this name or token exists.
    exists,
    /// Removing the last admin would lock everyone out.
    last_admin,
    /// A table is full.
    too_many,
    /// The change id was used for another content.
    change_id_reused,
    /// The log position was applied before.
    out_of_order,
};

inline constexpr std::uint8_t change_verdict_count = 15;

/// Stable lower-case name.
std::string_view to_string(change_verdict verdict);

} // namespace damaskladder::control
