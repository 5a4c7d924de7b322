#pragma once

#include "base/time.hpp"
#include "http/client.hpp"
#include "http/event_loop.hpp"
#include "load/arrival_schedule.hpp"
#include "load/experiment.hpp"
#include "load/key_text.hpp"
#include "load/outstanding_request.hpp"
#include "load/precise_timer.hpp"
#include "load/run_statistics.hpp"
#include "load/runner_hooks.hpp"

#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace damaskladder::load {

/// Runs one experiment on an event loop: sends each request at its intended time regardless of how
/// many are outstanding, executes the commands, and counts the results.
///
/// Use only on the loop's thread. Must outlive the run of the loop.
class load_runner {
public:
    /// keys holds one key for each stream, in the order of the streams.
    load_runner(http::event_loop& loop, experiment plan, std::vector<key_text> keys,
                runner_hooks hooks);

    /// Starts the run; intended send times are relative to this call.
    void start();
    /// Stops sending; hooks.finished is called when all outstanding requests have ended.
    void stop();

    run_report report() const;

private:
    using request_ptr = std::shared_ptr<outstanding_request>;

    std::optional<base::time_point> round(base::time_point now);
    run_offset offset(base::time_point now) const;
    void send_due(run_offset now);
    void start_request(const arrival& request, run_offset now);
    void send_attempt(const request_ptr& request, run_offset now);
    void send_retries(run_offset now);
    void attempt_ended(const request_ptr& request, const http::transfer_result& end);
    void end(const request_ptr& request, const request_result& result, run_offset now);
    void cancel_timed_out(run_offset now);
    void send_due_commands(run_offset now);
    void send_command(const command_settings& command);
    std::optional<run_offset> next_event() const;
    bool is_finished(run_offset now) const;
    http::request_head request_head_for(const outstanding_request& request) const;

    http::event_loop& m_loop;
    experiment m_plan;
    std::vector<key_text> m_keys;
    runner_hooks m_hooks;
    http::client m_client;
    precise_timer m_timer;
    arrival_schedule m_schedule;
    run_statistics m_statistics;
    std::optional<base::time_point> m_start;
    bool m_interrupted = false;
    bool m_finished = false;
    std::size_t m_next_target = 0;
    std::size_t m_open = 0;
    /// Requests ordered by intended send time, so that the next one to time out is at the front.
    std::deque<request_ptr> m_timeouts;
    /// Requests to be retried in the next iteration of the loop.
    std::vector<request_ptr> m_retries;
    /// Pending commands, ordered by time.
    std::deque<command_settings> m_commands;
    std::size_t m_open_commands = 0;
};

} // namespace damaskladder::load
