#include "control/json_reader.hpp"

#include "settings/value_limits.hpp"

namespace damaskladder::control {

namespace {

// Length of the longest name that an INI file can contain.
constexpr std::size_t max_field_name = 49;

} // namespace

bool json_reader::is_field_name(const std::string& text)
{
    auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_';
    };
    return text.size() <= max_field_name && std::all_of(text.begin(), text.end(), allowed);
}

bool json_reader::is_field_value(const std::string& text)
{
    auto printable = [](char c) { return c >= ' ' && c <= '~'; };
    return text.size() <= settings::max_value_length &&
           std::all_of(text.begin(), text.end(), printable);
}

} // namespace damaskladder::control
