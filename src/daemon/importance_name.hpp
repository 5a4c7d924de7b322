#pragma once

#include "base/importance.hpp"

#include <optional>
#include <string_view>

namespace damaskladder::daemon {

/// Word of an importance level in headers.
std::string_view to_string(base::importance level);

/// Nothing if the word names no level.
std::optional<base::importance> parse_importance(std::string_view word);

} // namespace damaskladder::daemon
