#pragma once

#include "node/transfer_id.hpp"

namespace damaskladder::node {

/// Event: the connection of a transfer is established; from now on bytes of the request may be
/// sent.
struct transfer_connected {
    transfer_id transfer;
};

} // namespace damaskladder::node
