#pragma once

#include "base/byte_count.hpp"
#include "membership/message.hpp"

namespace damaskladder::membership {

/// Estimated size of a message encoded as CBOR arrays, for bandwidth budgets. Excludes the sealed
/// envelope and transport overhead.
base::byte_count encoded_size(const message& body);

} // namespace damaskladder::membership
