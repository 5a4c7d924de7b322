#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::membership {

/// Orders the records that an incarnation of a node publishes about itself.
using record_version = base::strong_id<struct record_version_tag, std::uint64_t>;

} // namespace damaskladder::membership
