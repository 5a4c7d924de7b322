#pragma once

#include "consensus/persist_entries.hpp"
#include "consensus/persist_snapshot.hpp"
#include "consensus/persist_vote.hpp"
#include "consensus/send_message.hpp"
#include "control/leadership_changed.hpp"
#include "control/query_confirmed.hpp"
#include "control/settings_version_changed.hpp"
#include "control/submission_answered.hpp"
#include "control/submission_refused.hpp"

#include <variant>

namespace damaskladder::control {

/// Action or notification that a control replica returns to its caller, to be handled in the order
/// returned.
using replica_effect =
    std::variant<consensus::send_message, consensus::persist_vote, consensus::persist_entries,
                 consensus::persist_snapshot, submission_answered, submission_refused,
                 query_confirmed, settings_version_changed, leadership_changed>;

} // namespace damaskladder::control
