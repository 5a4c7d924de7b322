#pragma once

#include "node/kept_answer.hpp"
#include "node/transfer_id.hpp"

#include <memory>

namespace damaskladder::node {

/// Event: the whole answer of a transfer has been relayed.
struct response_finished {
    transfer_id transfer;
    /// The answer, if relay_response asked for a copy and it stayed within the bound; else empty.
    std::shared_ptr<const kept_answer> copy;
};

} // namespace damaskladder::node
