#pragma once

#include "node/exchange_id.hpp"

#include <vector>

namespace damaskladder::node {

/// Event: all requests ahead of an exchange on its connection are answered and the connection stays
/// open. Only for exchanges that arrived with others ahead.
struct turn_reached {
    exchange_id exchange;
    /// Exchanges behind it on the connection, in the order of their requests.
    std::vector<exchange_id> behind;
};

} // namespace damaskladder::node
