#pragma once

#include "node/backend_refused.hpp"
#include "node/backend_state_reported.hpp"
#include "node/call_arrived.hpp"
#include "node/caller_disconnected.hpp"
#include "node/claim_denied.hpp"
#include "node/claim_granted.hpp"
#include "node/connect_failed.hpp"
#include "node/drain_requested.hpp"
#include "node/gatekeeper_refused.hpp"
#include "node/onward_call_arrived.hpp"
#include "node/request_arrived.hpp"
#include "node/response_finished.hpp"
#include "node/response_started.hpp"
#include "node/stop_requested.hpp"
#include "node/stop_scheduled.hpp"
#include "node/tick.hpp"
#include "node/token_granted.hpp"
#include "node/token_refused.hpp"
#include "node/transfer_connected.hpp"
#include "node/transfer_failed.hpp"
#include "node/turn_reached.hpp"

#include <variant>

namespace damaskladder::node {

/// The inputs of a traffic machine.
using event =
    std::variant<request_arrived, onward_call_arrived, call_arrived, token_granted, token_refused,
                 gatekeeper_refused, transfer_connected, connect_failed, transfer_failed,
                 backend_refused, response_started, response_finished, caller_disconnected,
                 claim_granted, claim_denied, drain_requested, backend_state_reported,
                 stop_requested, stop_scheduled, turn_reached, tick>;

} // namespace damaskladder::node
