#include "consensus/folder_names.hpp"

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace damaskladder::consensus {

namespace {

constexpr std::string_view segment_prefix = "segment-";
constexpr std::string_view snapshot_prefix = "snapshot-";
constexpr std::string_view temporary_suffix = ".tmp";
/// Number of digits of the largest 64-bit number. Numbers are zero-padded so that names sort
/// numerically.
constexpr std::size_t number_digits = 20;

file_name numbered(std::string_view prefix, std::uint64_t number)
{
    const std::string digits = std::to_string(number);
    return file_name(std::string(prefix) + std::string(number_digits - digits.size(), '0') +
                     digits);
}

std::optional<std::uint64_t> number_of(std::string_view prefix, const file_name& name)
{
    const std::string_view text = name.value();
    if (text.substr(0, prefix.size()) != prefix || text.size() != prefix.size() + number_digits) {
        return std::nullopt;
    }
    std::uint64_t number = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + prefix.size(), end, number);
    const bool valid = parsed.ec == std::errc() && parsed.ptr == end;
    return valid ? std::optional(number) : std::nullopt;
}

} // namespace

file_name identity_file()
{
    return file_name("identity");
}

file_name formation_file()
{
    return file_name("formation");
}

file_name vote_file()
{
    return file_name("vote");
}

file_name segment_file(segment_number number)
{
    return numbered(segment_prefix, number.value());
}

file_name snapshot_file(log_index last_index)
{
    return numbered(snapshot_prefix, last_index.value());
}

file_name temporary_file(const file_name& name)
{
    return file_name(name.value() + std::string(temporary_suffix));
}

bool is_temporary(const file_name& name)
{
    const std::string_view text = name.value();
    return text.size() >= temporary_suffix.size() &&
           text.substr(text.size() - temporary_suffix.size()) == temporary_suffix;
}

std::optional<segment_number> segment_of(const file_name& name)
{
    const auto number = number_of(segment_prefix, name);
    return number ? std::optional(segment_number(*number)) : std::nullopt;
}

std::optional<log_index> snapshot_of(const file_name& name)
{
    const auto number = number_of(snapshot_prefix, name);
    return number ? std::optional(log_index(*number)) : std::nullopt;
}

} // namespace damaskladder::consensus
