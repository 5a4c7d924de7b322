#pragma once

#include "consensus/add_replica.hpp"
#include "consensus/remove_replica.hpp"

#include <variant>

namespace damaskladder::consensus {

/// Addition or removal of a single replica.
using membership_change = std::variant<add_replica, remove_replica>;

} // namespace damaskladder::consensus
