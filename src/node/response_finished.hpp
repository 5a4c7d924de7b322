#pragma once

#include "node/kept_answer.hpp"
#include "node/transfer_id.hpp"

#include <memory>

namespace damaskladder::node {

/// Event: the whole response of a transfer has been relayed.
struct response_finished {
    transfer_id transfer;
    /// The response, if relay_response requested a copy and the size limit was not exceeded;
    /// otherwise empty.
    std::shared_ptr<const kept_answer> copy;
};

} // namespace damaskladder::node
