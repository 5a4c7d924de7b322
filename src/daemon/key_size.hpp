#pragma once

#include <cstddef>

namespace damaskladder::daemon {

/// Maximum size in bytes of a workspace's key in a request.
constexpr std::size_t max_key_size = 512;

} // namespace damaskladder::daemon
