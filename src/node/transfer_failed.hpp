#pragma once

#include "node/transfer_id.hpp"

namespace damaskladder::node {

/// Event: a transfer ended without a complete response, and the request may have been received.
struct transfer_failed {
    transfer_id transfer;
};

} // namespace damaskladder::node
