#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::lease {

/// Numbers the acquisitions of a resource. A new holder's epoch is larger than that of the holder
/// before it, unless a majority of the voters restarted in between.
using lease_epoch = base::strong_id<struct lease_epoch_tag, std::uint64_t>;

} // namespace damaskladder::lease
