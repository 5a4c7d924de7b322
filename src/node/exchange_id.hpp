#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::node {

/// Identifies one inbound request and its answer on this node; given by the front end, never
/// reused within one run of the process.
using exchange_id = base::strong_id<struct exchange_id_tag, std::uint64_t>;

} // namespace damaskladder::node
