#pragma once

#include <log4cplus/appender.h>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace damaskladder::daemon {

/// Writes log lines to a descriptor that can take them without waiting, and drops the others, so
/// that a reader that stalls holds up no thread. The first line after a loss says how many lines
/// were lost.
///
/// A pipe that other processes write to may still block for the time between check and write.
class ready_line_appender : public log4cplus::Appender {
public:
    /// `describe_lost` returns the message for a number of lost lines.
    ready_line_appender(int descriptor, std::function<std::string(std::size_t)> describe_lost)
        : m_descriptor(descriptor), m_describe_lost(std::move(describe_lost))
    {
    }
    ~ready_line_appender() override { destructorImpl(); }
    ready_line_appender(const ready_line_appender&) = delete;
    ready_line_appender& operator=(const ready_line_appender&) = delete;

    void close() override { closed = true; }

protected:
    /// Called with the appender's mutex held.
    void append(const log4cplus::spi::InternalLoggingEvent& event) override;

private:
    /// Returns false if the line was not written as a whole.
    bool write_line(std::string_view line);

    int m_descriptor;
    std::function<std::string(std::size_t)> m_describe_lost;
    std::size_t m_lost = 0;
    /// The last line was cut off, so that its end is still to be written.
    bool m_cut = false;
};

} // namespace damaskladder::daemon
