#pragma once

#include "base/change_id.hpp"
#include "base/operator_id.hpp"
#include "base/settings_version.hpp"
#include "base/time.hpp"
#include "settings/setting_diff.hpp"

#include <cstddef>
#include <cstdint>

namespace damaskladder::control {

/// Details of a version conflict: what happened to the subtree since the version that the command
/// is based on.
struct change_conflict {
    /// Current version of the subtree, with the author, id and time of the change that created it.
    base::settings_version version;
    base::operator_id author;
    base::change_id change;
    base::wall_time when;
    /// Difference from the base version to the current one; at most max_conflict_changes changes.
    settings::setting_diff difference;
    /// Number of changes omitted from the difference.
    std::uint64_t omitted = 0;
    /// Whether the history reaches back to the base version.
    bool complete = false;

    friend bool operator==(const change_conflict&, const change_conflict&) = default;
};

/// Replies are cached for resends, so the difference in them is bounded.
inline constexpr std::size_t max_conflict_changes = 50;

} // namespace damaskladder::control
