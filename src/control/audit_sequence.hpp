#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::control {

/// Sequence number of an audit record, starting at 1, without gaps.
using audit_sequence = base::strong_id<struct audit_sequence_tag, std::uint64_t>;

} // namespace damaskladder::control
