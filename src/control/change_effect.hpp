#pragma once

#include "control/add_credential_effect.hpp"
#include "control/apply_diff_effect.hpp"
#include "control/close_proposal_effect.hpp"
#include "control/open_proposal_effect.hpp"
#include "control/remove_credential_effect.hpp"
#include "control/set_document_effect.hpp"

#include <variant>

namespace damaskladder::control {

/// A state change made by an operator's command.
using change_effect =
    std::variant<close_proposal_effect, apply_diff_effect, open_proposal_effect,
                 add_credential_effect, remove_credential_effect, set_document_effect>;

} // namespace damaskladder::control
