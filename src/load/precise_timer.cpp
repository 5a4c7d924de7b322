#include "load/precise_timer.hpp"

#include <sys/epoll.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>

namespace damaskladder::load {

precise_timer::precise_timer(http::event_loop& loop)
    : m_loop(loop), m_fd(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC))
{
    // If timerfd_create failed, the loop's own deadlines still wake it, up to 1 ms later.
    if (m_fd >= 0) {
        m_loop.watch(m_fd, EPOLLIN, [fd = m_fd](std::uint32_t) {
            std::uint64_t count = 0;
            [[maybe_unused]] const auto got = read(fd, &count, sizeof count);
        });
    }
}

precise_timer::~precise_timer()
{
    if (m_fd >= 0) {
        m_loop.unwatch(m_fd);
        close(m_fd);
    }
}

void precise_timer::wake_after(base::duration delay)
{
    // A value of zero would disarm the timer.
    const auto at_least = std::max(delay, base::duration(1));
    const auto seconds = std::chrono::floor<std::chrono::seconds>(at_least);
    itimerspec spec{};
    spec.it_value.tv_sec = seconds.count();
    spec.it_value.tv_nsec = std::chrono::nanoseconds(at_least - seconds).count();
    if (m_fd >= 0) {
        timerfd_settime(m_fd, 0, &spec, nullptr);
    }
}

} // namespace damaskladder::load
