#pragma once

#include <cstdint>

namespace damaskladder::node {

/// Whether a request may run again if its caller sends it again.
enum class run_rule : std::uint8_t { repeatable, once };

} // namespace damaskladder::node
