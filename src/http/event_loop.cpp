#include "http/event_loop.hpp"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <stdexcept>

namespace damaskladder::http {

namespace {

constexpr int max_events = 128;
constexpr base::duration max_wait = std::chrono::seconds(1);

// The 64-bit epoll user data holds the descriptor and a generation number, which distinguishes a
// reused descriptor number from the one that the event belongs to.
std::uint64_t pack(int fd, std::uint64_t generation)
{
    return (generation << 32U) | static_cast<std::uint32_t>(fd);
}

} // namespace

event_loop::event_loop()
    : m_epoll(epoll_create1(EPOLL_CLOEXEC)), m_wake(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    if (m_epoll < 0 || m_wake < 0) {
        throw std::runtime_error("event loop: cannot create epoll instance or eventfd");
    }
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = pack(m_wake, 0);
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wake, &event);
}

event_loop::~event_loop()
{
    close(m_wake);
    close(m_epoll);
}

base::time_point event_loop::now()
{
    // CLOCK_MONOTONIC does not advance while a VM is suspended, which would extend leases.
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    const auto since_boot =
        std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
    return base::time_point(std::chrono::duration_cast<base::duration>(since_boot));
}

void event_loop::watch(int fd, std::uint32_t events, fd_handler handler)
{
    auto& entry = m_watched[fd];
    const bool known = entry != nullptr;
    // dispatch() keeps the old entry alive, so a handler may replace itself while it runs.
    entry = std::make_shared<watched>();
    entry->generation = ++m_generation & 0xffffffffU;
    entry->handler = std::move(handler);
    epoll_event event{};
    event.events = events;
    event.data.u64 = pack(fd, entry->generation);
    if (!known || epoll_ctl(m_epoll, EPOLL_CTL_MOD, fd, &event) != 0) {
        epoll_ctl(m_epoll, EPOLL_CTL_ADD, fd, &event);
    }
}

void event_loop::unwatch(int fd)
{
    if (m_watched.erase(fd) != 0) {
        epoll_ctl(m_epoll, EPOLL_CTL_DEL, fd, nullptr);
    }
}

void event_loop::each_round(round_handler handler)
{
    m_rounds.push_back(std::move(handler));
}

void event_loop::call_at(base::time_point when, std::function<void()> call)
{
    m_timers.emplace(when, std::move(call));
}

base::time_point event_loop::next_multiple(base::duration interval, base::time_point now) const
{
    const auto passed = (now - m_made_at) / interval;
    return m_made_at + (passed + 1) * interval;
}

void event_loop::post(std::function<void()> call)
{
    if (on_own_thread()) {
        m_deferred.push_back(std::move(call));
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_posted.push_back(std::move(call));
    }
    wake();
}

void event_loop::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    wake();
}

void event_loop::wake()
{
    const std::uint64_t one = 1;
    // If the counter is full the write fails, but the loop is woken anyway.
    [[maybe_unused]] const auto written = write(m_wake, &one, sizeof one);
}

void event_loop::dispatch(int fd, std::uint64_t generation, std::uint32_t events)
{
    if (fd == m_wake) {
        std::uint64_t count = 0;
        [[maybe_unused]] const auto got = read(m_wake, &count, sizeof count);
        return;
    }
    const auto found = m_watched.find(fd);
    if (found == m_watched.end() || found->second->generation != generation) {
        return;
    }
    // The handler may unwatch itself.
    const auto entry = found->second;
    entry->handler(events);
}

void event_loop::run_posted()
{
    std::vector<std::function<void()>> calls;
    {
        const std::lock_guard lock(m_mutex);
        calls.swap(m_posted);
    }
    for (const auto& call : calls) {
        call();
    }
    calls.clear();
    calls.swap(m_deferred);
    for (const auto& call : calls) {
        call();
    }
}

void event_loop::run_timers(base::time_point now)
{
    if (m_timer_observer && !m_timers.empty() && m_timers.begin()->first <= now) {
        m_timer_observer(now - m_timers.begin()->first);
    }
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        const auto call = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        call();
    }
}

base::duration event_loop::run_rounds()
{
    m_round_requested = false;
    const auto start = now();
    auto wait = max_wait;
    run_timers(start);
    for (const auto& round : m_rounds) {
        if (const auto next = round(start)) {
            wait = std::min(wait, std::max(*next - start, base::duration::zero()));
        }
    }
    if (!m_timers.empty()) {
        wait = std::min(wait, std::max(m_timers.begin()->first - start, base::duration::zero()));
    }
    return m_round_requested ? base::duration::zero() : wait;
}

base::duration event_loop::run_until_idle()
{
    // Limits the passes so that calls that keep posting do not starve descriptor events.
    constexpr int max_passes = 16;
    auto wait = base::duration::zero();
    for (int pass = 0; pass < max_passes; ++pass) {
        run_posted();
        wait = run_rounds();
        if (m_deferred.empty()) {
            return wait;
        }
    }
    return base::duration::zero();
}

void event_loop::wait(base::duration longest)
{
    std::array<epoll_event, max_events> events{};
    // epoll_wait rounds to milliseconds, which would add up along a chain of calls.
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(longest);
    const timespec timeout{seconds.count(), std::chrono::nanoseconds(longest - seconds).count()};
    const auto wait_start = m_wait_observer ? now() : base::time_point();
    const int count = epoll_pwait2(m_epoll, events.data(), max_events, &timeout, nullptr);
    const auto woken = now();
    if (m_wait_observer) {
        m_wait_observer(wait_start - m_woken_at, woken - wait_start, woken);
    }
    m_woken_at = woken;
    for (int i = 0; i < count; ++i) {
        const auto& event = events.at(static_cast<std::size_t>(i));
        dispatch(static_cast<int>(event.data.u64 & 0xffffffffU), event.data.u64 >> 32U,
                 event.events);
    }
}

void event_loop::run()
{
    m_thread = std::this_thread::get_id();
    for (;;) {
        auto longest = run_until_idle();
        {
            const std::lock_guard lock(m_mutex);
            if (m_stopping) {
                m_stopping = false;
                m_thread = std::thread::id();
                return;
            }
            if (!m_posted.empty()) {
                longest = base::duration::zero();
            }
        }
        wait(longest);
    }
}

} // namespace damaskladder::http
