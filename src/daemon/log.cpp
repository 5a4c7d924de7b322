#include "daemon/log.hpp"

#include "daemon/ready_line_appender.hpp"

#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <memory>

namespace damaskladder::daemon {

namespace {

struct log_state {
    log4cplus::Initializer initializer;
    log4cplus::Logger logger = log4cplus::Logger::getRoot();
    std::string process;
    bool json = false;
};

// Set once by start_log() and never destroyed, since other threads may log until the process exits.
log_state* state = nullptr;

log4cplus::LogLevel to_log4cplus(log_level level)
{
    switch (level) {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warn:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

std::string quote(const std::string& value)
{
    const bool plain = !value.empty() && value.find_first_of(" \"=\\\n\r\t") == std::string::npos;
    return plain ? value
                 : nlohmann::json(value).dump(-1, ' ', true,
                                              nlohmann::json::error_handler_t::replace);
}

std::string format(std::string_view event, std::initializer_list<log_field> fields)
{
    if (state->json) {
        nlohmann::ordered_json line = {{"process", state->process}, {"event", event}};
        for (const auto& field : fields) {
            line[std::string(field.key)] = field.value;
        }
        auto text = line.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
        return text.substr(1);
    }
    std::string text = "process=" + quote(state->process) + " event=" + quote(std::string(event));
    for (const auto& field : fields) {
        text += " " + std::string(field.key) + "=" + quote(field.value);
    }
    return text;
}

} // namespace

void start_log(const log_settings& settings, const std::string& process)
{
    if (state != nullptr) {
        return;
    }
    state = new log_state;
    state->process = process;
    state->json = settings.json;
    const auto* pattern = settings.json
                              ? "{\"time\":\"%D{%Y-%m-%dT%H:%M:%S.%qZ}\",\"level\":\"%p\",%m%n"
                              : "time=%D{%Y-%m-%dT%H:%M:%S.%qZ} level=%p %m%n";
    log4cplus::SharedAppenderPtr appender(
        new ready_line_appender(STDERR_FILENO, [](std::size_t lost) {
            return format("log_lines_lost", {{"count", std::to_string(lost)}});
        }));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    state->logger.addAppender(appender);
    set_log_level(settings.level);
}

void set_log_level(const std::string& level)
{
    if (state != nullptr) {
        state->logger.setLogLevel(
            log4cplus::getLogLevelManager().fromString(level == "debug"   ? "DEBUG"
                                                       : level == "warn"  ? "WARN"
                                                       : level == "error" ? "ERROR"
                                                                          : "INFO"));
    }
}

void log(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (state == nullptr || !state->logger.isEnabledFor(to_log4cplus(level))) {
        return;
    }
    state->logger.log(to_log4cplus(level), format(event, fields));
}

void log_failure(log_level level, std::string_view event, const base::failure& error)
{
    log(level, event,
        {{"step", error.step},
         {"peer", error.peer},
         {"kind", std::string(to_string(error.kind))},
         {"text", error.text}});
}

} // namespace damaskladder::daemon
