#include "settings/value_parsers.hpp"

#include "settings/setting_path.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <numeric>

namespace damaskladder::settings {

namespace {

struct duration_unit {
    std::string_view name;
    std::int64_t microseconds;
};

constexpr std::array duration_units = {
    duration_unit{"us", 1}, duration_unit{"ms", 1'000}, duration_unit{"s", 1'000'000},
    duration_unit{"min", 60'000'000}, duration_unit{"h", 3'600'000'000}};

struct byte_unit {
    std::string_view name;
    std::int64_t bytes;
};

constexpr std::array byte_units = {byte_unit{"B", 1}, byte_unit{"KiB", 1024},
                                   byte_unit{"MiB", 1024 * 1024}};

// Enough for every bound in the schema, and small enough that no product overflows.
constexpr std::size_t max_digits = 9;

constexpr std::int64_t max_split_weight = 1'000'000;

std::size_t count_leading_digits(std::string_view text)
{
    std::size_t count = 0;
    while (count < text.size() && text[count] >= '0' && text[count] <= '9') {
        ++count;
    }
    return count;
}

std::optional<std::int64_t> parse_digits(std::string_view text)
{
    if (text.empty() || text.size() > max_digits || count_leading_digits(text) != text.size()) {
        return std::nullopt;
    }
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::int64_t power_of_ten(std::size_t exponent)
{
    std::int64_t value = 1;
    for (; exponent > 0; --exponent) {
        value *= 10;
    }
    return value;
}

/// Reads "12" or "1.25" in units of 10^-decimals.
std::optional<std::int64_t> parse_decimal(std::string_view text, std::size_t decimals)
{
    auto point = text.find('.');
    auto integer = parse_digits(text.substr(0, point));
    if (!integer) {
        return std::nullopt;
    }
    auto scaled = *integer * power_of_ten(decimals);
    if (point == std::string_view::npos) {
        return scaled;
    }
    auto fraction_text = text.substr(point + 1);
    auto fraction = parse_digits(fraction_text);
    if (!fraction || fraction_text.size() > decimals) {
        return std::nullopt;
    }
    return scaled + *fraction * power_of_ten(decimals - fraction_text.size());
}

std::optional<int> hex_digit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    return std::nullopt;
}

std::optional<domain_share> reduced_share(std::int64_t numerator, std::int64_t denominator)
{
    if (numerator < 1 || numerator > denominator || denominator > domain_share::max_denominator) {
        return std::nullopt;
    }
    auto divisor = std::gcd(numerator, denominator);
    return domain_share{numerator / divisor, denominator / divisor};
}

bool is_prefix_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
           c == '_' || c == '~' || c == '-';
}

bool is_prefix_part(std::string_view part)
{
    return !part.empty() && part != "." && part != ".." &&
           std::all_of(part.begin(), part.end(), is_prefix_character);
}

} // namespace

std::optional<std::int64_t> parse_count(std::string_view text)
{
    return parse_digits(text);
}

std::optional<base::duration> parse_duration(std::string_view text)
{
    const auto number_end = std::min(text.find_first_not_of("0123456789."), text.size());
    const auto millionths = parse_decimal(text.substr(0, number_end), 6);
    if (!millionths) {
        return std::nullopt;
    }
    for (const auto& unit : duration_units) {
        if (unit.name == text.substr(number_end)) {
            constexpr std::int64_t parts_per_unit = 1'000'000;
            // Computed in two parts, so that the longest durations do not overflow.
            const auto amount = (*millionths / parts_per_unit) * unit.microseconds +
                                (*millionths % parts_per_unit) * unit.microseconds / parts_per_unit;
            return base::duration(amount);
        }
    }
    return std::nullopt;
}

std::optional<token_rate> parse_rate(std::string_view text)
{
    if (!text.ends_with("/s")) {
        return std::nullopt;
    }
    text.remove_suffix(2);
    auto thousandths = parse_decimal(text, 3);
    if (!thousandths) {
        return std::nullopt;
    }
    return token_rate(*thousandths);
}

std::optional<base::byte_count> parse_bytes(std::string_view text)
{
    auto digits = count_leading_digits(text);
    auto amount = parse_digits(text.substr(0, digits));
    if (!amount) {
        return std::nullopt;
    }
    for (const auto& unit : byte_units) {
        if (unit.name == text.substr(digits)) {
            return base::byte_count(*amount * unit.bytes);
        }
    }
    return std::nullopt;
}

std::optional<std::vector<split_part>> parse_split(std::string_view text)
{
    std::vector<split_part> parts;
    while (true) {
        const auto comma = text.find(", ");
        const auto item = text.substr(0, comma);
        const auto colon = item.rfind(':');
        const auto weight =
            colon == std::string_view::npos ? std::nullopt : parse_digits(item.substr(colon + 1));
        const auto service = item.substr(0, colon);
        const bool repeated = std::any_of(parts.begin(), parts.end(), [&](const auto& part) {
            return part.service.value() == service;
        });
        if (!weight || *weight > max_split_weight || !is_name(service) || repeated) {
            return std::nullopt;
        }
        parts.push_back({base::service_id(std::string(service)),
                         base::share_weight(static_cast<std::int32_t>(*weight))});
        if (comma == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(comma + 2);
    }
}

std::optional<once_scope> parse_once_scope(std::string_view text)
{
    if (text == "request_id") {
        return once_scope::request_id;
    }
    if (text == "attempt") {
        return once_scope::attempt;
    }
    return std::nullopt;
}

std::optional<bool> parse_yes_no(std::string_view text)
{
    if (text == "yes") {
        return true;
    }
    if (text == "no") {
        return false;
    }
    return std::nullopt;
}

std::optional<base::importance> parse_importance(std::string_view text)
{
    constexpr std::array<std::string_view, base::importance_levels> names = {"background", "low",
                                                                             "normal", "critical"};
    const auto* found = std::find(names.begin(), names.end(), text);
    if (found == names.end()) {
        return std::nullopt;
    }
    return static_cast<base::importance>(found - names.begin());
}

std::optional<base::key_hash> parse_key_hash(std::string_view text)
{
    base::key_hash hash;
    if (text.size() != 2 * hash.bytes.size()) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < hash.bytes.size(); ++i) {
        auto high = hex_digit(text[2 * i]);
        auto low = hex_digit(text[2 * i + 1]);
        if (!high || !low) {
            return std::nullopt;
        }
        hash.bytes[i] = static_cast<std::uint8_t>(*high * 16 + *low);
    }
    return hash;
}

std::optional<key_state> parse_key_state(std::string_view text)
{
    if (text == "active") {
        return key_state::active;
    }
    if (text == "withdrawn") {
        return key_state::withdrawn;
    }
    return std::nullopt;
}

std::optional<domain_share> parse_share(std::string_view text)
{
    auto slash = text.find('/');
    if (slash == std::string_view::npos) {
        auto millionths = parse_decimal(text, 6);
        return millionths ? reduced_share(*millionths, 1'000'000) : std::nullopt;
    }
    auto numerator = parse_digits(text.substr(0, slash));
    auto denominator = parse_digits(text.substr(slash + 1));
    if (!numerator || !denominator) {
        return std::nullopt;
    }
    return reduced_share(*numerator, *denominator);
}

std::optional<std::vector<std::string>> parse_names(std::string_view text)
{
    std::vector<std::string> names;
    while (true) {
        auto comma = text.find(", ");
        auto name = text.substr(0, comma);
        if (!is_name(name) || std::find(names.begin(), names.end(), name) != names.end()) {
            return std::nullopt;
        }
        names.emplace_back(name);
        if (comma == std::string_view::npos) {
            return names;
        }
        text.remove_prefix(comma + 2);
    }
}

bool is_name(std::string_view text)
{
    return text.find('/') == std::string_view::npos && setting_path::parse(text).has_value();
}

bool is_path_prefix(std::string_view text)
{
    if (text.empty() || text.front() != '/') {
        return false;
    }
    if (text.ends_with('/')) {
        text.remove_suffix(1);
    }
    while (!text.empty()) {
        text.remove_prefix(1);
        auto part = text.substr(0, text.find('/'));
        if (!is_prefix_part(part)) {
            return false;
        }
        text.remove_prefix(part.size());
    }
    return true;
}

std::string to_string(const base::key_hash& hash)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (auto byte : hash.bytes) {
        text += digits[byte / 16];
        text += digits[byte % 16];
    }
    return text;
}

} // namespace damaskladder::settings
