#pragma once

#include <string>

namespace damaskladder::daemon {

/// How a process writes its log (standard error).
struct log_settings {
    /// debug, info, warn or error.
    std::string level = "info";
    /// One JSON object a line instead of key=value pairs.
    bool json = false;
};

} // namespace damaskladder::daemon
