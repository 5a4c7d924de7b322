#pragma once

#include "base/time.hpp"

#include <optional>

namespace damaskladder::daemon {

/// Times of the steps of a graceful stop, which begins with a signal and ends with the exit.
class stop_schedule {
public:
    /// The process is killed once `limit` has passed. With `keeps_serving`, it serves its callers
    /// until shortly before that; otherwise it stops as soon as the requests in progress allow.
    stop_schedule(base::time_point now, base::duration limit, bool keeps_serving);

    /// The node leaves the fleet and accepts no more calls of other nodes.
    base::time_point leave_at() const { return m_leave_at; }
    /// No more connections of callers are accepted, and idle ones are closed.
    base::time_point stop_accepting_at() const;
    /// Requests that arrive after stop_accepting_at() must be answered by then.
    base::time_point serving_end() const;
    /// Further requests are refused.
    base::time_point stop_traffic_at() const { return m_stop_traffic_at; }

    /// All answers have been passed to the kernel. Later calls are ignored.
    void answers_sent(base::time_point now);
    /// Ends the stop at once.
    void end(base::time_point now) { m_exit_limit = now; }
    /// Whether the process should exit: some time after the last answer, in which notices of the
    /// stop and returned tokens are sent, or at the limit.
    bool exit_due(base::time_point now) const;

private:
    base::time_point m_leave_at;
    base::time_point m_stop_traffic_at;
    /// Requests without an answer are given up.
    base::time_point m_serving_limit;
    /// The exit, also if answers are still on their way.
    base::time_point m_exit_limit;
    std::optional<base::time_point> m_answers_sent_at;
};

} // namespace damaskladder::daemon
