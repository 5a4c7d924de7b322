#include "settings/setting_path.hpp"

#include <algorithm>

namespace damaskladder::settings {

namespace {

bool is_part_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
           c == '_' || c == '-';
}

} // namespace

std::optional<setting_path> setting_path::parse(std::string_view text)
{
    if (text.empty() || text.size() > max_length) {
        return std::nullopt;
    }
    std::size_t parts = 1;
    bool part_is_empty = true;
    for (char c : text) {
        if (c == '/') {
            if (part_is_empty) {
                return std::nullopt;
            }
            ++parts;
            part_is_empty = true;
            continue;
        }
        if (!is_part_character(c)) {
            return std::nullopt;
        }
        part_is_empty = false;
    }
    if (part_is_empty || parts > max_depth) {
        return std::nullopt;
    }
    return setting_path(std::string(text));
}

std::size_t setting_path::depth() const
{
    if (m_text.empty()) {
        return 0;
    }
    return 1 + static_cast<std::size_t>(std::count(m_text.begin(), m_text.end(), '/'));
}

std::string_view setting_path::part(std::size_t position) const
{
    std::string_view remaining = m_text;
    for (; position > 0; --position) {
        auto slash = remaining.find('/');
        if (slash == std::string_view::npos) {
            return {};
        }
        remaining.remove_prefix(slash + 1);
    }
    return remaining.substr(0, remaining.find('/'));
}

bool setting_path::is_within(const setting_path& ancestor) const
{
    const auto& prefix = ancestor.m_text;
    if (prefix.empty()) {
        return true;
    }
    if (!m_text.starts_with(prefix)) {
        return false;
    }
    return m_text.size() == prefix.size() || m_text[prefix.size()] == '/';
}

setting_path setting_path::versioned_root() const
{
    if (part(0) == "fleet") {
        return setting_path("fleet");
    }
    if (part(0) == "teams" && depth() >= 2) {
        return setting_path("teams/" + std::string(part(1)));
    }
    return {};
}

} // namespace damaskladder::settings
