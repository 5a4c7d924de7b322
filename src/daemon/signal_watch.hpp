#pragma once

#include <cstdint>

namespace damaskladder::daemon {

/// Receives SIGTERM, SIGINT and SIGHUP through a descriptor. Construct it before other threads
/// start, so that they inherit the blocked signals. SIGPIPE is ignored.
class signal_watch {
public:
    signal_watch();
    ~signal_watch();
    signal_watch(const signal_watch&) = delete;
    signal_watch& operator=(const signal_watch&) = delete;

    /// Readable when a signal has come.
    int fd() const { return m_fd; }
    /// Events to watch the descriptor for.
    static const std::uint32_t readable;

    /// Number of the oldest signal that has not been taken; 0 if there is none.
    int take() const;

private:
    int m_fd = -1;
};

} // namespace damaskladder::daemon
