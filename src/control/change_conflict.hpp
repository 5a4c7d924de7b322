#pragma once

#include "base/change_id.hpp"
#include "base/operator_id.hpp"
#include "base/settings_version.hpp"
#include "base/time.hpp"
#include "settings/setting_diff.hpp"

#include <cstddef>
#include <cstdint>

namespace damaskladder::control {

/// Why a change came too late: what happened to the subtree since the version it names.
struct change_conflict {
    /// Present version of the subtree, its author, change and time.
    base::settings_version version;
    base::operator_id author;
    base::change_id change;
    base::wall_time when;
    /// From the version named to the present one; at most max_conflict_changes.
    settings::setting_diff difference;
    /// Changes left out of the difference.
    std::uint64_t omitted = 0;
    /// Whether the history reaches back to the version named.
    bool complete = false;

    friend bool operator==(const change_conflict&, const change_conflict&) = default;
};

/// Replies are kept for resends, so the difference in them is bounded.
inline constexpr std::size_t max_conflict_changes = 50;

} // namespace damaskladder::control
