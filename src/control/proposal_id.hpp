#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::control {

/// Identifies a proposal: the log position of the command that created it.
using proposal_id = base::strong_id<struct proposal_id_tag, std::uint64_t>;

} // namespace damaskladder::control
