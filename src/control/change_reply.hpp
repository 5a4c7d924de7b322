#pragma once

#include "base/settings_version.hpp"
#include "control/change_conflict.hpp"
#include "control/change_verdict.hpp"
#include "control/proposal_id.hpp"
#include "settings/settings_problem.hpp"

#include <optional>

namespace damaskladder::control {

/// Reply to an operator's command.
struct change_reply {
    change_verdict verdict = change_verdict::malformed;
    /// Version of the subtree after the command; 0 if it concerns no subtree.
    base::settings_version version;
    /// Proposal that was created or that the command refers to; 0 if none.
    proposal_id proposal;
    /// Set only with change_verdict::conflict.
    std::optional<change_conflict> conflict;
    /// Set only with change_verdict::invalid.
    settings::settings_problems problems;

    friend bool operator==(const change_reply&, const change_reply&) = default;
};

} // namespace damaskladder::control
