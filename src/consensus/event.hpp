#pragma once

#include "consensus/membership_change_requested.hpp"
#include "consensus/message_received.hpp"
#include "consensus/propose.hpp"
#include "consensus/read_requested.hpp"
#include "consensus/snapshot_taken.hpp"
#include "consensus/storage_failed.hpp"
#include "consensus/sync_completed.hpp"
#include "consensus/tick.hpp"
#include "consensus/transfer_requested.hpp"

#include <variant>

namespace damaskladder::consensus {

/// Inputs of a replica.
using event =
    std::variant<message_received, propose, read_requested, membership_change_requested, tick,
                 sync_completed, storage_failed, snapshot_taken, transfer_requested>;

} // namespace damaskladder::consensus
