#pragma once

#include "node/transfer_id.hpp"

namespace damaskladder::node {

/// Event: the local backend server said that it has not run the request, and will not.
struct backend_refused {
    transfer_id transfer;
};

} // namespace damaskladder::node
