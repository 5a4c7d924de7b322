#pragma once

#include "consensus/apply_committed.hpp"
#include "consensus/became_leader.hpp"
#include "consensus/configuration_changed.hpp"
#include "consensus/install_snapshot.hpp"
#include "consensus/persist_entries.hpp"
#include "consensus/persist_snapshot.hpp"
#include "consensus/persist_vote.hpp"
#include "consensus/read_confirmed.hpp"
#include "consensus/refused.hpp"
#include "consensus/send_message.hpp"
#include "consensus/snapshot_rejected.hpp"
#include "consensus/snapshot_wanted.hpp"
#include "consensus/stepped_down.hpp"
#include "consensus/transfer_abandoned.hpp"

#include <variant>

namespace damaskladder::consensus {

/// Actions that a replica asks its caller to carry out, in the order in which they are returned.
using effect =
    std::variant<send_message, persist_vote, persist_entries, persist_snapshot, apply_committed,
                 read_confirmed, became_leader, stepped_down, install_snapshot, refused,
                 snapshot_wanted, snapshot_rejected, configuration_changed, transfer_abandoned>;

} // namespace damaskladder::consensus
