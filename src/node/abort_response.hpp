#pragma once

#include "node/exchange_id.hpp"

namespace damaskladder::node {

/// Effect: closes the connection of an exchange whose answer broke off, so that the caller does
/// not take a part for the whole.
struct abort_response {
    exchange_id exchange;
};

} // namespace damaskladder::node
