#pragma once

#include <cstdint>

namespace damaskladder::consensus {

/// What becomes of the stored entries after a snapshot's last index.
enum class log_disposition : std::uint8_t { keep_suffix = 0, discard_all = 1 };

} // namespace damaskladder::consensus
