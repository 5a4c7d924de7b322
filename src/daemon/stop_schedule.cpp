#include "daemon/stop_schedule.hpp"

#include <algorithm>

namespace damaskladder::daemon {

namespace {

// Time between the last answer and the exit, in which notices of the stop and returned tokens are
// sent.
constexpr base::duration message_flush_time = std::chrono::milliseconds(500);
// Time between reporting not ready and leaving the fleet. Callers and load balancers typically
// probe readiness every second and stop sending after two failed probes.
constexpr base::duration unready_notice_time = std::chrono::milliseconds(2500);
// Margin between the last request served and the stop limit.
constexpr base::duration serving_margin = std::chrono::milliseconds(800);
// Margin between the exit and the stop limit while answers are still on their way.
constexpr base::duration exit_margin = std::chrono::milliseconds(100);
// Time for which callers' connections are still accepted after the node has left the fleet. Kept
// short, since every request that was read must finish before the exit.
constexpr base::duration accept_time_after_leave = std::chrono::milliseconds(300);
// Time for the last answers to reach their callers.
constexpr base::duration last_answer_margin = std::chrono::milliseconds(100);

} // namespace

stop_schedule::stop_schedule(base::time_point now, base::duration limit, bool keeps_serving)
    : m_leave_at(now + std::min(unready_notice_time, limit / 2)),
      m_stop_traffic_at(m_leave_at),
      m_serving_limit(now + limit),
      m_exit_limit(now + limit)
{
    if (keeps_serving) {
        m_serving_limit -= std::min(limit / 2, serving_margin);
        m_exit_limit -= std::min(limit / 2, exit_margin);
        m_stop_traffic_at = m_serving_limit - message_flush_time;
    }
}

base::time_point stop_schedule::stop_accepting_at() const
{
    return m_leave_at + accept_time_after_leave;
}

base::time_point stop_schedule::serving_end() const
{
    return m_serving_limit - last_answer_margin;
}

void stop_schedule::answers_sent(base::time_point now)
{
    if (!m_answers_sent_at) {
        m_answers_sent_at = now;
    }
}

bool stop_schedule::exit_due(base::time_point now) const
{
    return now >= m_exit_limit ||
           (m_answers_sent_at && now >= *m_answers_sent_at + message_flush_time);
}

} // namespace damaskladder::daemon
