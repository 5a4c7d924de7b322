#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::node {

/// Identifies one inbound request and its response on this node. Assigned by the front end and not
/// reused during the lifetime of the process.
using exchange_id = base::strong_id<struct exchange_id_tag, std::uint64_t>;

} // namespace damaskladder::node
