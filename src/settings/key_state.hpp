#pragma once

#include <cstdint>

namespace damaskladder::settings {

/// Whether a key may be used. A withdrawn key stays listed, so that it is distinguished from an
/// unknown key and its hash cannot be reused.
enum class key_state : std::uint8_t { active, withdrawn };

} // namespace damaskladder::settings
