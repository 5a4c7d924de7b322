#pragma once

#include "base/importance.hpp"

#include <string_view>

namespace damaskladder::daemon {

/// Name of an importance level in headers; settings::parse_importance parses it.
std::string_view to_string(base::importance level);

} // namespace damaskladder::daemon
