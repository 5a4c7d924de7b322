#pragma once

#include <cstdint>

namespace damaskladder::settings {

/// Whether a key may be used. A withdrawn key stays listed, so that its use is told from an unknown
/// key, and its hash is not granted again.
enum class key_state : std::uint8_t { active, withdrawn };

} // namespace damaskladder::settings
