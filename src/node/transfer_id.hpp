#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::node {

/// Identifies one outbound request of this node. Assigned by the traffic machine and never reused.
using transfer_id = base::strong_id<struct transfer_id_tag, std::uint64_t>;

} // namespace damaskladder::node
