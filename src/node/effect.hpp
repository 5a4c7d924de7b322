#pragma once

#include "node/ask_claim.hpp"
#include "node/ask_tokens.hpp"
#include "node/cancel_transfer.hpp"
#include "node/complete_claim.hpp"
#include "node/cut_answer.hpp"
#include "node/forward_to_gatekeeper.hpp"
#include "node/give_token_back.hpp"
#include "node/refuse.hpp"
#include "node/relay_answer.hpp"
#include "node/release_claim.hpp"
#include "node/replay_answer.hpp"
#include "node/start_at_backend_server.hpp"

#include <variant>

namespace damaskladder::node {

/// Everything that the traffic machine asks its front end to do.
using effect = std::variant<ask_tokens, give_token_back, forward_to_gatekeeper,
                            start_at_backend_server, ask_claim, release_claim, complete_claim,
                            refuse, relay_answer, replay_answer, cut_answer, cancel_transfer>;

} // namespace damaskladder::node
