#pragma once

#include <cstdint>
#include <string_view>

namespace damaskladder::settings {

/// Reason for which settings are rejected.
enum class problem_kind : std::uint8_t {
    syntax,
    too_long,
    too_many,
    duplicate_section,
    duplicate_field,
    unknown_path,
    unknown_field,
    missing_field,
    wrong_format,
    out_of_range,
    missing_reference,
    not_unique,
    contradiction,
    diff_mismatch,
};

/// Lower-case name, which does not change between versions.
std::string_view to_string(problem_kind kind);

} // namespace damaskladder::settings
