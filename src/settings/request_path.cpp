#include "settings/request_path.hpp"

namespace damaskladder::settings {

namespace {

bool starts_with_encoded(std::string_view text, char high, char low)
{
    auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; };
    return text.size() >= 3 && text[0] == '%' && text[1] == high && lower(text[2]) == low;
}

/// Number of dots, plain or percent-encoded, if the part consists only of dots; -1 otherwise.
int count_dots(std::string_view part)
{
    int dots = 0;
    while (!part.empty()) {
        bool encoded = starts_with_encoded(part, '2', 'e');
        if (part.front() != '.' && !encoded) {
            return -1;
        }
        part.remove_prefix(encoded ? 3 : 1);
        ++dots;
    }
    return dots;
}

bool has_ambiguous_separator(std::string_view part)
{
    for (std::size_t position = 0; position < part.size(); ++position) {
        auto remaining = part.substr(position);
        if (remaining.front() == '\\' || starts_with_encoded(remaining, '2', 'f') ||
            starts_with_encoded(remaining, '5', 'c')) {
            return true;
        }
    }
    return false;
}

} // namespace

bool is_plain_request_path(std::string_view path)
{
    if (path.empty() || path.front() != '/') {
        return false;
    }
    while (!path.empty()) {
        path.remove_prefix(1);
        auto part = path.substr(0, path.find('/'));
        auto dots = count_dots(part);
        if (dots == 1 || dots == 2 || has_ambiguous_separator(part)) {
            return false;
        }
        path.remove_prefix(part.size());
    }
    return true;
}

} // namespace damaskladder::settings
