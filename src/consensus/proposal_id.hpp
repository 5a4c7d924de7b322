#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::consensus {

/// Identifies a proposal or membership change; chosen by the caller and unique within its process.
using proposal_id = base::strong_id<struct proposal_id_tag, std::uint64_t>;

} // namespace damaskladder::consensus
