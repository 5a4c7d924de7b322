#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>

namespace damaskladder::settings {

/// Path of an entry or subtree of the settings tree, for example "teams/grants/routes/pay".
///
/// A path has 1 to 4 parts of letters, digits, '.', '_' and '-', joined by '/'. The default value
/// is the root, which contains every path.
class setting_path {
public:
    /// inih truncates section names to 49 characters, so a file cannot hold a longer path.
    static constexpr std::size_t max_length = 49;
    static constexpr std::size_t max_depth = 4;

    setting_path() = default;

    /// None if the text is not a path within the limits above.
    static std::optional<setting_path> parse(std::string_view text);

    const std::string& text() const { return m_text; }
    std::size_t depth() const;
    /// Part by position from 0; empty if there is none.
    std::string_view part(std::size_t position) const;
    /// Whether this path is the ancestor itself or below it.
    bool is_within(const setting_path& ancestor) const;
    /// "teams/TEAM" or "fleet": root of the subtree whose version a change of this path refers to.
    /// Empty if the path is above these subtrees.
    setting_path versioned_root() const;

    friend auto operator<=>(const setting_path&, const setting_path&) = default;
    friend std::ostream& operator<<(std::ostream& out, const setting_path& path)
    {
        return out << path.m_text;
    }

private:
    explicit setting_path(std::string text) : m_text(std::move(text)) {}

    std::string m_text;
};

} // namespace damaskladder::settings
