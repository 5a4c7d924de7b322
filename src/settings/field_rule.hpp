#pragma once

#include "settings/field_kind.hpp"

#include <cstdint>
#include <string_view>

namespace damaskladder::settings {

/// Constraints on the value of a field.
struct field_rule {
    std::string_view name;
    field_kind kind = field_kind::name;
    bool required = false;
    /// Bounds in the unit of the kind: microseconds, bytes, thousandths of a token per second,
    /// count, or number of names. Characters for path prefixes. Not used for the other kinds.
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    /// Text after "expected" in a problem.
    std::string_view expected;
};

} // namespace damaskladder::settings
