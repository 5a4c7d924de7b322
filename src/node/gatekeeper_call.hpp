#pragma once

#include "base/attempt_id.hpp"
#include "base/content_hash.hpp"
#include "base/service_id.hpp"
#include "base/time.hpp"
#include "node/call_context.hpp"
#include "node/exchange_id.hpp"
#include "node/gatekeeper_phase.hpp"
#include "node/response_class.hpp"
#include "node/transfer_id.hpp"

#include <optional>

namespace damaskladder::node {

/// A call at the gatekeeper of the backend server that runs it.
struct gatekeeper_call {
    exchange_id exchange;
    gatekeeper_phase phase = gatekeeper_phase::queued;
    base::service_id service;
    call_context context;
    base::content_hash content;
    base::time_point deadline;
    /// Names the claim; set for calls that are not idempotent.
    std::optional<base::attempt_id> attempt;
    transfer_id transfer;
    base::time_point started_at;
    /// Time until the answer started, without the time in which the call had onward calls.
    base::duration own_latency{};
    response_class response = response_class::served;
};

} // namespace damaskladder::node
