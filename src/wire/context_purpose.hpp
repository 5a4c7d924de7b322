#pragma once

#include <cstdint>

namespace damaskladder::wire {

/// Which process may present a sealed context. A backend server cannot use the context it received
/// to call another node's gatekeeper directly.
enum class context_purpose : std::uint8_t { gatekeeper = 1, backend_server = 2 };

} // namespace damaskladder::wire
