#pragma once

#include <cstdint>

namespace damaskladder::daemon {

/// Receives SIGTERM, SIGINT and SIGHUP through a file descriptor. Must be constructed before other
/// threads start, so that they inherit the blocked signals. Ignores SIGPIPE.
class signal_watch {
public:
    signal_watch();
    ~signal_watch();
    signal_watch(const signal_watch&) = delete;
    signal_watch& operator=(const signal_watch&) = delete;

    /// File descriptor that is readable when a signal is pending.
    int fd() const { return m_fd; }
    /// Event mask for watching the file descriptor.
    static const std::uint32_t readable;

    /// Returns and removes the oldest pending signal; 0 if there is none.
    int take() const;

private:
    int m_fd = -1;
};

} // namespace damaskladder::daemon
