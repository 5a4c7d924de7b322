#pragma once

#include "node/exchange_id.hpp"
#include "node/kept_answer.hpp"

#include <memory>

namespace damaskladder::node {

/// Effect: sends the kept response of an earlier request as the response of an exchange and ends
/// the exchange.
struct replay_response {
    exchange_id exchange;
    std::shared_ptr<const kept_answer> response;
};

} // namespace damaskladder::node
