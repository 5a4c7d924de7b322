#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::base {

/// Name of a node, unique in the fleet; set in the node's settings file.
using node_id = strong_id<struct node_id_tag, std::string>;

} // namespace damaskladder::base
