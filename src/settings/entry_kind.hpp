#pragma once

#include "settings/setting_path.hpp"

#include <cstdint>
#include <optional>

namespace damaskladder::settings {

/// Kind of the entry at a path.
enum class entry_kind : std::uint8_t {
    route,
    workspace,
    key,
    limits,
    policy,
    failure_domain,
    evacuation,
    service,
};

/// Kind of the entry at the path; none if the path cannot hold an entry.
inline std::optional<entry_kind> kind_of(const setting_path& path)
{
    auto depth = path.depth();
    if (path.part(0) == "fleet" && path.part(1) == "domains" && depth == 3) {
        return entry_kind::failure_domain;
    }
    if (path.part(0) == "fleet" && path.part(1) == "evacuations" && depth == 3) {
        return entry_kind::evacuation;
    }
    if (path.part(0) != "teams" || depth < 3) {
        return std::nullopt;
    }
    auto group = path.part(2);
    if (depth == 3) {
        return group == "limits"   ? std::optional(entry_kind::limits)
               : group == "policy" ? std::optional(entry_kind::policy)
                                   : std::nullopt;
    }
    return group == "routes"       ? std::optional(entry_kind::route)
           : group == "workspaces" ? std::optional(entry_kind::workspace)
           : group == "keys"       ? std::optional(entry_kind::key)
           : group == "services"   ? std::optional(entry_kind::service)
                                   : std::nullopt;
}

} // namespace damaskladder::settings
