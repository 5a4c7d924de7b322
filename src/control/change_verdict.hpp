#pragma once

#include <cstdint>
#include <string_view>

namespace damaskladder::control {

/// Outcome of an operator's command.
enum class change_verdict : std::uint8_t {
    /// The command took effect.
    accepted,
    /// No effect: the settings already have the requested values.
    unchanged,
    /// A proposal was created and awaits approval.
    pending,
    /// The version of the subtree or document differs from the one that the command is based on.
    conflict,
    /// The resulting settings fail validation.
    invalid,
    /// A field of the command is out of bounds.
    malformed,
    permission_denied,
    /// A reviewer's subtree contains a changed path; the change must be proposed instead.
    review_required,
    /// No such proposal, key or credential.
    not_found,
    /// The proposal was approved, refused or has expired.
    closed,
    /// A credential with this name or token already exists.
    exists,
    /// Removing the last admin would lock everyone out.
    last_admin,
    /// A limit is reached: credentials, pending proposals or changes per command.
    too_many,
    /// The change id was already used with different content.
    change_id_reused,
    /// The log position has already been applied.
    out_of_order,
    /// No failure domain would remain that is not evacuated.
    last_domain,
};

inline constexpr std::uint8_t change_verdict_count = 16;

/// Stable lower-case name.
std::string_view to_string(change_verdict verdict);

} // namespace damaskladder::control
