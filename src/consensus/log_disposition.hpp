#pragma once

#include <cstdint>

namespace damaskladder::consensus {

/// What to do with the log entries after the last index of an installed snapshot.
enum class log_disposition : std::uint8_t { keep_suffix = 0, discard_all = 1 };

} // namespace damaskladder::consensus
