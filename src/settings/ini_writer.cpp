#include "settings/ini_writer.hpp"

#include <string_view>

namespace damaskladder::settings {

namespace {

// Below the 198 bytes per line that inih reads, to leave room for one more list item of 49
// characters.
constexpr std::size_t wrap_width = 100;

std::string wrap(std::string_view value)
{
    std::string text;
    std::size_t width = 0;
    for (std::size_t position = 0; position < value.size(); ++position) {
        if (value[position] == ' ' && width >= wrap_width) {
            text += "\n    ";
            width = 0;
            continue;
        }
        text += value[position];
        ++width;
    }
    return text;
}

} // namespace

std::string write_ini(const setting_tree& tree)
{
    std::string text;
    for (const auto& [path, entry] : tree) {
        text += text.empty() ? "" : "\n";
        text += "[" + path.text() + "]\n";
        for (const auto& [field, value] : entry) {
            text += field.value() + " = " + wrap(value.value()) + "\n";
        }
    }
    return text;
}

} // namespace damaskladder::settings
