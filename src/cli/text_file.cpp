#include "cli/text_file.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

namespace damaskladder::cli {

std::optional<std::string> read_text_file(const std::string& path)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(path);
    if (!file) {
        return std::nullopt;
    }
    text << file.rdbuf();
    return text.str();
}

} // namespace damaskladder::cli
