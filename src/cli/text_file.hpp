#pragma once

#include <optional>
#include <string>

namespace damaskladder::cli {

/// Content of a file, or of standard input for "-"; nothing if it cannot be read.
std::optional<std::string> read_text_file(const std::string& path);

} // namespace damaskladder::cli
