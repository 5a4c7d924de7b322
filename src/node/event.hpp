#pragma once

#include "node/answer_finished.hpp"
#include "node/answer_started.hpp"
#include "node/backend_refused.hpp"
#include "node/call_arrived.hpp"
#include "node/caller_gone.hpp"
#include "node/claim_denied.hpp"
#include "node/claim_granted.hpp"
#include "node/connect_failed.hpp"
#include "node/drain_requested.hpp"
#include "node/gatekeeper_refused.hpp"
#include "node/onward_call_arrived.hpp"
#include "node/request_arrived.hpp"
#include "node/stop_requested.hpp"
#include "node/tick.hpp"
#include "node/tokens_granted.hpp"
#include "node/tokens_refused.hpp"
#include "node/transfer_broke.hpp"
#include "node/transfer_connected.hpp"

#include <variant>

namespace damaskladder::node {

/// Everything that the traffic machine reacts to.
using event =
    std::variant<request_arrived, onward_call_arrived, call_arrived, tokens_granted, tokens_refused,
                 gatekeeper_refused, transfer_connected, connect_failed, transfer_broke,
                 backend_refused, answer_started, answer_finished, caller_gone, claim_granted,
                 claim_denied, drain_requested, stop_requested, tick>;

} // namespace damaskladder::node
