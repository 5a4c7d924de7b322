#include "daemon/signal_watch.hpp"

#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>

namespace damaskladder::daemon {

const std::uint32_t signal_watch::readable = EPOLLIN;

signal_watch::signal_watch()
{
    sigset_t watched;
    sigemptyset(&watched);
    sigaddset(&watched, SIGTERM);
    sigaddset(&watched, SIGINT);
    sigaddset(&watched, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &watched, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    m_fd = signalfd(-1, &watched, SFD_CLOEXEC | SFD_NONBLOCK);
}

signal_watch::~signal_watch()
{
    close(m_fd);
}

int signal_watch::take() const
{
    signalfd_siginfo info{};
    return read(m_fd, &info, sizeof info) == sizeof info ? static_cast<int>(info.ssi_signo) : 0;
}

} // namespace damaskladder::daemon
