#pragma once

#include "node/transfer_id.hpp"

namespace damaskladder::node {

/// Event: the local backend server reported that it has not run the request and will not run it.
struct backend_refused {
    transfer_id transfer;
};

} // namespace damaskladder::node
