#pragma once

#include "base/byte_count.hpp"
#include "membership/message.hpp"

namespace damaskladder::membership {

/// Size of a message in a compact binary encoding (CBOR arrays): estimate for budgets, without the
/// sealed envelope and the transport.
base::byte_count encoded_size(const message& body);

} // namespace damaskladder::membership
