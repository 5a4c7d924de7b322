#pragma once

#include "node/transfer_id.hpp"

namespace damaskladder::node {

/// Effect: closes the connection of a transfer. No event of this transfer is needed any more.
struct cancel_transfer {
    transfer_id transfer;
};

} // namespace damaskladder::node
