#pragma once

#include "base/settings_version.hpp"
#include "control/command_header.hpp"
#include "control/document_change.hpp"
#include "control/settings_edit.hpp"
#include "settings/setting_path.hpp"

#include <optional>

namespace damaskladder::control {

/// Changes a subtree at once.
struct change_settings {
    command_header header;
    /// "fleet", "teams/TEAM" or a path below; the edit stays within.
    settings::setting_path subtree;
    /// Version of "fleet" or "teams/TEAM" that the author has seen.
    base::settings_version based_on;
    settings_edit edit;
    /// With it, the document's version takes the place of based_on, and the change has a version of
    /// its own even where it changes no entry.
    std::optional<document_change> document = std::nullopt;

    friend bool operator==(const change_settings&, const change_settings&) = default;
};

} // namespace damaskladder::control
