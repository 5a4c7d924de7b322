#pragma once

#include "base/time.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <vector>

namespace damaskladder::http {

/// Single-threaded epoll loop that handles file descriptor events, timers and calls posted from
/// other threads.
///
///     event_loop loop;
///     loop.watch(fd, EPOLLIN, [](std::uint32_t events) { ... });
///     loop.run();   // until stop()
///
/// All members except post() and stop() may be used only on the thread that calls run(). The loop
/// blocks in epoll_wait while there is nothing to do. A round is one iteration of the loop.
class event_loop {
public:
    using fd_handler = std::function<void(std::uint32_t events)>;
    /// Called once per round. Returns the latest time at which it must run again, if any.
    using round_handler = std::function<std::optional<base::time_point>(base::time_point now)>;

    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Adds a descriptor, or replaces its watched events and handler.
    void watch(int fd, std::uint32_t events, fd_handler handler);

    /// Called after each wait with the busy time before it, the time spent waiting, and the current
    /// time.
    using wait_observer = std::function<void(base::duration, base::duration, base::time_point)>;
    void observe_waits(wait_observer observer) { m_wait_observer = std::move(observer); }

    /// Called when timers are due, with the time by which the earliest of them is late.
    using timer_observer = std::function<void(base::duration)>;
    void observe_timers(timer_observer observer) { m_timer_observer = std::move(observer); }

    /// Stops watching a descriptor. Its pending events of the current round are discarded.
    void unwatch(int fd);

    /// Adds a handler that is called in every round.
    void each_round(round_handler handler);

    /// Runs another round before the loop waits. For work that was added after the responsible
    /// round handler had already run.
    void request_round() { m_round_requested = true; }

    /// Runs a call once, at the given time or later.
    void call_at(base::time_point when, std::function<void()> call);

    /// The first time after `now` that is a multiple of the interval since this loop was made.
    /// Periodic calls at such times share wake-ups if their intervals are multiples of each other,
    /// while the loops of several processes stay out of step.
    base::time_point next_multiple(base::duration interval, base::time_point now) const;

    /// Runs a call on the loop's thread, after the current handler and before the loop waits. May
    /// be called from any thread; on the loop's own thread it needs no system call.
    void post(std::function<void()> call);

    /// Time at which the loop last returned from waiting. Cheaper than now() and at most one round
    /// old.
    base::time_point woken_at() const { return m_woken_at; }

    /// Runs until stop().
    void run();

    /// Makes run() return after the current round. May be called from any thread.
    void stop();

    /// Current time on a monotonic clock that includes suspended time.
    static base::time_point now();

private:
    struct watched {
        std::uint64_t generation = 0;
        fd_handler handler;
    };

    bool on_own_thread() const { return m_thread == std::this_thread::get_id(); }
    void wake();
    /// Runs posted calls, timers and round handlers until no more work is due. Returns the maximum
    /// time to wait.
    base::duration run_until_idle();
    void wait(base::duration longest);
    void dispatch(int fd, std::uint64_t generation, std::uint32_t events);
    void run_posted();
    void run_timers(base::time_point now);
    base::duration run_rounds();

    int m_epoll = -1;
    int m_wake = -1;
    std::uint64_t m_generation = 0;
    bool m_round_requested = false;
    wait_observer m_wait_observer;
    timer_observer m_timer_observer;
    base::time_point m_made_at = now();
    base::time_point m_woken_at = m_made_at;
    std::unordered_map<int, std::shared_ptr<watched>> m_watched;
    std::vector<round_handler> m_rounds;
    std::multimap<base::time_point, std::function<void()>> m_timers;
    /// Calls posted on the loop's own thread.
    std::vector<std::function<void()>> m_deferred;
    std::atomic<std::thread::id> m_thread;
    std::mutex m_mutex;
    std::vector<std::function<void()>> m_posted; // guarded by m_mutex
    bool m_stopping = false;                     // guarded by m_mutex
};

} // namespace damaskladder::http
