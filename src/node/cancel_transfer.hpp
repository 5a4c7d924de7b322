#pragma once

#include "node/transfer_id.hpp"

namespace damaskladder::node {

/// Effect: closes the connection of a transfer. Later events of the transfer are ignored.
struct cancel_transfer {
    transfer_id transfer;
};

} // namespace damaskladder::node
