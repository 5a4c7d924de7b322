#pragma once

#include "node/transfer_id.hpp"

namespace damaskladder::node {

/// Event: a transfer ended before any byte of the request was sent. The front end reports this
/// only when it is certain; otherwise it reports transfer_failed.
struct connect_failed {
    transfer_id transfer;
};

} // namespace damaskladder::node
