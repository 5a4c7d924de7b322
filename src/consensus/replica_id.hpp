#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::consensus {

/// Configured name of a control replica, unique in the cluster; read from the process's settings
/// file.
using replica_id = base::strong_id<struct replica_id_tag, std::string>;

} // namespace damaskladder::consensus
