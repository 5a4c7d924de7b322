#include "daemon/ready_line_appender.hpp"

#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace damaskladder::daemon {

namespace {

/// A pipe that is ready takes this many bytes without waiting.
constexpr std::size_t max_write = PIPE_BUF;

bool is_ready(int descriptor)
{
    pollfd wanted{descriptor, POLLOUT, 0};
    return ::poll(&wanted, 1, 0) == 1 && (wanted.revents & POLLOUT) != 0;
}

} // namespace

void ready_line_appender::append(const log4cplus::spi::InternalLoggingEvent& event)
{
    if (m_lost != 0) {
        const log4cplus::spi::InternalLoggingEvent notice(
            event.getLoggerName(), log4cplus::WARN_LOG_LEVEL, m_describe_lost(m_lost), nullptr, 0);
        if (!write_line(formatEvent(notice))) {
            ++m_lost;
            return;
        }
        m_lost = 0;
    }
    if (!write_line(formatEvent(event))) {
        ++m_lost;
    }
}

bool ready_line_appender::write_line(std::string_view line)
{
    const std::string ended = m_cut ? "\n" + std::string(line) : std::string();
    std::string_view rest = m_cut ? ended : line;
    const std::size_t size = rest.size();
    while (!rest.empty()) {
        if (!is_ready(m_descriptor)) {
            break;
        }
        const auto written = ::write(m_descriptor, rest.data(), std::min(rest.size(), max_write));
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            break;
        }
        rest.remove_prefix(static_cast<std::size_t>(written));
    }
    m_cut = rest.size() == size ? m_cut : !rest.empty();
    return rest.empty();
}

} // namespace damaskladder::daemon
