#pragma once

#include "node/abort_response.hpp"
#include "node/cancel_transfer.hpp"
#include "node/complete_claim.hpp"
#include "node/forward_to_gatekeeper.hpp"
#include "node/refuse.hpp"
#include "node/relay_response.hpp"
#include "node/release_claim.hpp"
#include "node/replay_response.hpp"
#include "node/request_claim.hpp"
#include "node/request_token.hpp"
#include "node/return_token.hpp"
#include "node/start_at_backend_server.hpp"

#include <variant>

namespace damaskladder::node {

/// The actions that a traffic machine requests from its front end.
using effect =
    std::variant<request_token, return_token, forward_to_gatekeeper, start_at_backend_server,
                 request_claim, release_claim, complete_claim, refuse, relay_response,
                 replay_response, abort_response, cancel_transfer>;

} // namespace damaskladder::node
