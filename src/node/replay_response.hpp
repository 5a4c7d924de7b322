#pragma once

#include "node/exchange_id.hpp"
#include "node/kept_answer.hpp"

#include <memory>

namespace damaskladder::node {

/// Effect: answers an exchange with the kept answer of an earlier request and ends it.
struct replay_response {
    exchange_id exchange;
    std::shared_ptr<const kept_answer> response;
};

} // namespace damaskladder::node
