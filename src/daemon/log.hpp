#pragma once

#include "base/failure.hpp"
#include "daemon/log_settings.hpp"

#include <initializer_list>
#include <string>
#include <string_view>

namespace damaskladder::daemon {

/// One key and value of a structured log line.
struct log_field {
    std::string_view key;
    std::string value;
};

enum class log_level { debug, info, warn, error };

/// Starts logging to standard error. Once, before any other thread runs.
void start_log(const log_settings& settings, const std::string& process);

/// Writes one line: time, level, process, event and fields, as key=value pairs or JSON. Never pass
/// a key or a token. From any thread.
void log(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

/// Logs a failure with its step, peer and kind.
void log_failure(log_level level, std::string_view event, const base::failure& error);

} // namespace damaskladder::daemon
