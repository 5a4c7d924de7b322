#pragma once

#include <string>

namespace damaskladder::daemon {

/// Settings of a process's log, which goes to standard error.
struct log_settings {
    /// debug, info, warn or error.
    std::string level = "info";
    /// Write one JSON object per line instead of key=value pairs.
    bool json = false;
};

} // namespace damaskladder::daemon
