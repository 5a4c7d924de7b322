#pragma once

#include "consensus/add_replica.hpp"
#include "consensus/remove_replica.hpp"

#include <variant>

namespace damaskladder::consensus {

/// A change of one replica.
using membership_change = std::variant<add_replica, remove_replica>;

} // namespace damaskladder::consensus
