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

/// Waits for descriptors, deadlines and calls from other threads on one thread (epoll).
///
///     event_loop loop;
///     loop.watch(fd, EPOLLIN, [](std::uint32_t events) { ... });
///     loop.run();   // until stop()
///
/// All members but post() and stop() belong to the thread that calls run(). The loop blocks in
/// epoll_wait while there is nothing to do.
class event_loop {
public:
    using fd_handler = std::function<void(std::uint32_t events)>;
    /// Runs once in each round of the loop and returns when it must run again at the latest.
    using round_handler = std::function<std::optional<base::time_point>(base::time_point now)>;

    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Adds or changes the events watched on a descriptor.
    void watch(int fd, std::uint32_t events, fd_handler handler);

    /// Called after each wait with the time worked before it, the time waited, and the present
    /// time.
    using wait_observer = std::function<void(base::duration, base::duration, base::time_point)>;
    void observe_waits(wait_observer observer) { m_wait_observer = std::move(observer); }

    /// Stops watching a descriptor. Pending events of this round are dropped.
    void unwatch(int fd);

    /// Adds a handler that runs in every round.
    void each_round(round_handler handler);

    /// Runs another round before the loop waits. For work that came up in a round after the handler
    /// concerned had run.
    void request_round() { m_round_requested = true; }

    /// Runs a call once at or after a time.
    void call_at(base::time_point when, std::function<void()> call);

    /// Runs a call on the loop's thread, after the handler that runs now and before the loop waits.
    /// From any thread; from the loop's own it costs no system call.
    void post(std::function<void()> call);

    /// When the loop last returned from waiting. Cheaper than now(), and at most one round older.
    base::time_point woken_at() const { return m_woken_at; }

    /// Runs until stop().
    void run();

    /// Ends run() after the current round. From any thread.
    void stop();

    /// Present time on the monotonic clock.
    static base::time_point now();

private:
    struct watched {
        std::uint64_t generation = 0;
        fd_handler handler;
    };

    bool on_own_thread() const { return m_thread == std::this_thread::get_id(); }
    void wake();
    /// Runs what was posted and the round handlers until nothing is left to do at once.
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
    base::time_point m_woken_at = now();
    std::unordered_map<int, std::shared_ptr<watched>> m_watched;
    std::vector<round_handler> m_rounds;
    std::multimap<base::time_point, std::function<void()>> m_timers;
    /// Posted by the loop's own thread.
    std::vector<std::function<void()>> m_deferred;
    std::atomic<std::thread::id> m_thread;
    std::mutex m_mutex;
    std::vector<std::function<void()>> m_posted; // guarded by m_mutex
    bool m_stopping = false;                     // guarded by m_mutex
};

} // namespace damaskladder::http
