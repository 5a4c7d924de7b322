#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::base {

/// Name of a workspace, unique in the fleet.
using workspace_id = strong_id<struct workspace_id_tag, std::string>;

} // namespace damaskladder::base
