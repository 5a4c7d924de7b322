#include "daemon/importance_name.hpp"

#include <array>

namespace damaskladder::daemon {

namespace {

constexpr std::array<std::string_view, base::importance_levels> words = {"background", "low",
                                                                         "normal", "critical"};

} // namespace

std::string_view to_string(base::importance level)
{
    return words.at(static_cast<std::size_t>(level));
}

std::optional<base::importance> parse_importance(std::string_view word)
{
    for (std::size_t i = 0; i < words.size(); ++i) {
        if (words.at(i) == word) {
            return static_cast<base::importance>(i);
        }
    }
    return std::nullopt;
}

} // namespace damaskladder::daemon
