#pragma once

#include "base/settings_version.hpp"
#include "control/command_header.hpp"
#include "control/document_change.hpp"
#include "control/settings_edit.hpp"
#include "settings/setting_path.hpp"

#include <optional>

namespace damaskladder::control {

/// Changes a subtree directly, without a proposal.
struct change_settings {
    command_header header;
    /// "fleet", "teams/TEAM" or a path below one of them. All paths in the edit must lie within it.
    settings::setting_path subtree;
    /// Version of "fleet" or "teams/TEAM" that the edit is based on.
    base::settings_version based_on;
    settings_edit edit;
    /// If set, the document's version replaces based_on as the precondition, and the change creates
    /// a new settings version even if no entry changes.
    std::optional<document_change> document = std::nullopt;

    friend bool operator==(const change_settings&, const change_settings&) = default;
};

} // namespace damaskladder::control
