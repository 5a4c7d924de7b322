#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::quota {

/// Numbers the sessions of one incarnation of a node for one workspace, in increasing order. A node
/// never uses a token of an earlier session.
using session_number = base::strong_id<struct session_number_tag, std::uint64_t>;

} // namespace damaskladder::quota
