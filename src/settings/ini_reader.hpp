#pragma once

#include "settings/ini_document.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace damaskladder::settings {

/// Largest INI text that is read, in bytes.
inline constexpr std::size_t max_ini_size = 4 * 1024 * 1024;

/// Reads an INI text: a section is a path, a key is a field. Checks the syntax only; see
/// checked_settings for the validation of values. Commas in values are normalised to ", ". A value
/// may continue on indented lines. A line holds at most 198 bytes, the limit of inih.
ini_document read_ini(std::string_view text, const std::string& file);

} // namespace damaskladder::settings
