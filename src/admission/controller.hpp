#pragma once

#include "admission/call_outcome.hpp"
#include "admission/call_request.hpp"
#include "admission/concurrency_limit.hpp"
#include "admission/controller_options.hpp"
#include "admission/fair_queue.hpp"
#include "admission/shed_meter.hpp"
#include "admission/verdict.hpp"
#include "base/slot_count.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace damaskladder::admission {

/// Admission control for one backend server: starts, queues or sheds each offered call.
class controller {
public:
    explicit controller(controller_options options);

    /// Handles a new or renewed announcement. Before the first one, calls are queued or shed.
    void announce(base::slot_count slots, bool cold, base::time_point now,
                  std::vector<verdict>& out);

    /// Offers a call. The verdict may be issued by a later call of another member function.
    void offer(const call_request& request, base::time_point now, std::vector<verdict>& out);

    /// Records the end of a started call and frees its slot. own_latency excludes the time spent
    /// waiting for onward calls, since their latency says nothing about this backend server.
    void finished(ticket id, call_outcome outcome, base::duration own_latency, base::time_point now,
                  std::vector<verdict>& out);

    /// Handles the loss of a call's caller. A queued call is removed without a verdict; a running
    /// one keeps its slot until finished().
    void caller_gone(ticket id);

    /// Issues verdicts for queued calls that exceeded their deadline or max_wait.
    void expire(base::time_point now, std::vector<verdict>& out);

    /// Refuses all queued calls and all later ones until reopen(). Used when the backend server
    /// drains or leaves.
    void close(std::vector<verdict>& out);
    void reopen() { m_closed = false; }

    /// Time of the next required expire(); nullopt while no call is queued.
    std::optional<base::time_point> next_deadline() const;

    /// Highest importance level at which nearly all calls are currently shed.
    std::optional<base::importance> shed_level(base::time_point now) const;

    base::slot_count running() const;
    base::slot_count limit() const { return m_limit.current(); }
    std::int64_t queued() const;
    base::duration typical_latency() const { return m_limit.typical_latency(); }

private:
    struct call_state {
        base::importance level = base::importance::background;
        base::workspace_id workspace;
        bool open = false;
        bool running = false;
    };

    fair_queue& queue_for(base::importance level);
    bool can_accept(const call_request& request, base::time_point now, verdict_kind& reason) const;
    base::duration expected_wait(const call_request& request) const;
    std::int64_t max_queue_length() const;
    std::int64_t max_running_open() const;
    void evict_excess(base::time_point now, std::vector<verdict>& out);
    void dispatch(base::time_point now, std::vector<verdict>& out);
    std::optional<queued_call> pop_next(base::importance& level);
    void start(const queued_call& call, base::importance level, base::time_point now,
               std::vector<verdict>& out);
    void shed(ticket id, base::importance level, verdict_kind kind, base::time_point now,
              std::vector<verdict>& out);

    controller_options m_options;
    concurrency_limit m_limit;
    shed_meter m_meter;
    std::array<fair_queue, base::importance_levels> m_queues;
    std::unordered_map<ticket, call_state> m_calls;
    std::int64_t m_running = 0;
    std::int64_t m_running_open = 0;
    base::time_point m_next_sweep;
    bool m_announced = false;
    bool m_closed = false;
};

} // namespace damaskladder::admission
