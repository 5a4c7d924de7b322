#pragma once

#include "base/failure.hpp"
#include "daemon/log_settings.hpp"

#include <initializer_list>
#include <string>
#include <string_view>

namespace damaskladder::daemon {

/// A key-value pair of a structured log line.
struct log_field {
    std::string_view key;
    std::string value;
};

enum class log_level { debug, info, warn, error };

/// Starts logging to standard error. Must be called once, before other threads start.
void start_log(const log_settings& settings, const std::string& process);

/// Changes the level of the log; any word that is no level means info.
void set_log_level(const std::string& level);

/// Writes one line with time, level, process, event and fields, as key=value pairs or JSON.
/// Thread-safe, and does not wait: lines that standard error cannot take at once are lost, and the
/// next line says how many. Keys and tokens must never be passed.
void log(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

/// Logs a failure with its step, peer, kind and text.
void log_failure(log_level level, std::string_view event, const base::failure& error);

} // namespace damaskladder::daemon
