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

/// A call at the gatekeeper of the backend server that is to run it.
struct gatekeeper_call {
    exchange_id exchange;
    gatekeeper_phase phase = gatekeeper_phase::queued;
    base::service_id service;
    call_context context;
    base::content_hash content;
    base::time_point deadline;
    /// Identifies the claim; set for calls that need one, once it has been requested.
    std::optional<base::attempt_id> attempt;
    transfer_id transfer;
    base::time_point started_at;
    /// Time until the response started, excluding the time in which onward calls of this call were
    /// in progress.
    base::duration own_latency{};
    response_class response = response_class::served;
};

} // namespace damaskladder::node
