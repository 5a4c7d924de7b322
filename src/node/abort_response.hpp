#pragma once

#include "node/exchange_id.hpp"

namespace damaskladder::node {

/// Effect: closes the connection of an exchange whose response was interrupted, so that the caller
/// does not mistake a truncated response for a complete one.
struct abort_response {
    exchange_id exchange;
};

} // namespace damaskladder::node
