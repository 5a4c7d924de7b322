#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::lease {

/// Number of an acquisition of a resource. A new holder's epoch is larger than that of the previous
/// holder, unless a majority of the voters restarted in between.
using lease_epoch = base::strong_id<struct lease_epoch_tag, std::uint64_t>;

} // namespace damaskladder::lease
