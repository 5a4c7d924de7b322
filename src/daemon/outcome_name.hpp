#pragma once

#include "node/outcome.hpp"

#include <string_view>

namespace damaskladder::daemon {

/// Name of an outcome in headers and texts.
inline std::string_view to_string(node::outcome value)
{
    return value == node::outcome::not_run ? "not-run" : "unknown";
}

} // namespace damaskladder::daemon
