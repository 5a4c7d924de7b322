#pragma once

#include <cstdint>

namespace damaskladder::settings {

/// What happened to one field.
enum class change_kind : std::uint8_t { added, removed, changed };

} // namespace damaskladder::settings
