#pragma once

#include <cstdint>

namespace damaskladder::settings {

/// Format of a field's value; see value_parsers.hpp.
enum class field_kind : std::uint8_t {
    path_prefix,
    name,
    names,
    /// Names, or "*" for all.
    names_or_all,
    /// Services with their weights.
    split,
    once_scope,
    yes_no,
    importance,
    duration,
    bytes,
    count,
    rate,
    share,
    hash,
    key_state,
};

} // namespace damaskladder::settings
