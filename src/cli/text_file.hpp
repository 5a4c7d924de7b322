#pragma once

#include <optional>
#include <string>

namespace damaskladder::cli {

/// Reads a whole file, or standard input for "-". Returns nothing if the file cannot be opened.
std::optional<std::string> read_text_file(const std::string& path);

} // namespace damaskladder::cli
