#pragma once

#include "base/byte_count.hpp"
#include "base/content_hash.hpp"
#include "base/node_id.hpp"
#include "base/service_id.hpp"
#include "base/time.hpp"
#include "node/call_context.hpp"
#include "node/entry_phase.hpp"
#include "node/exchange_id.hpp"
#include "node/refusal_reason.hpp"
#include "node/token_grant_id.hpp"
#include "node/transfer_id.hpp"
#include "retry/request_identity.hpp"
#include "routing/attempt_result.hpp"

#include <optional>
#include <vector>

namespace damaskladder::node {

/// A request at its entry node, or an onward call at the node of its backend server.
struct entry_request {
    exchange_id exchange;
    entry_phase phase = entry_phase::waiting_for_token;
    base::service_id service;
    /// Context of the next attempt, except for call, budget and allowance. Its call id is that of
    /// the request itself, under which the ledger holds the allowance.
    call_context context;
    base::time_point deadline;
    base::duration max_staleness{};
    /// The route needs no key.
    bool open = false;
    bool body_can_be_resent = false;
    /// Set if repeats of the request can join it.
    std::optional<retry::request_identity> identity;
    /// Content of the request while it waits for its turn; set if identity is.
    std::optional<base::content_hash> content;
    /// Set for onward calls.
    std::optional<base::call_id> parent;
    std::optional<token_grant_id> grant;

    int attempts = 0;
    /// Attempts that may have run, and the limit for them; zero means no limit.
    int runs = 0;
    base::retry_count max_runs;
    /// An earlier attempt ended with an unknown outcome.
    bool may_have_run = false;
    /// Gatekeepers at which an attempt failed.
    std::vector<base::node_id> tried_gatekeepers;

    /// The current attempt.
    transfer_id transfer;
    base::call_id attempt;
    base::retry_count lent_allowance;
    base::node_id gatekeeper;
    base::time_point forwarded_at;
    /// Bytes of the current attempt may have been sent.
    bool sent = false;
    routing::attempt_result response_result = routing::attempt_result::answered;
};

} // namespace damaskladder::node
