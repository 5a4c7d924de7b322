#pragma once

#include "base/time.hpp"
#include "http/client.hpp"
#include "http/event_loop.hpp"
#include "load/arrival_schedule.hpp"
#include "load/experiment.hpp"
#include "load/key_text.hpp"
#include "load/open_request.hpp"
#include "load/precise_timer.hpp"
#include "load/run_account.hpp"
#include "load/runner_hooks.hpp"

#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace damaskladder::load {

/// Runs one experiment on an event loop: sends each request at its intended time whatever is
/// outstanding, carries out the commands, and counts the results.
///
/// Belongs to the loop's thread, and must live as long as the loop runs.
class load_runner {
public:
    /// One key for each stream, in the order of the streams.
    load_runner(http::event_loop& loop, experiment plan, std::vector<key_text> keys,
                runner_hooks hooks);

    /// Begins; the intended times count from now.
    void start();
    /// Sends nothing further; hooks.finished runs when the open requests have ended.
    void stop();

    run_report report() const;

private:
    using request_ptr = std::shared_ptr<open_request>;

    std::optional<base::time_point> round(base::time_point now);
    run_offset offset(base::time_point now) const;
    void send_due(run_offset now);
    void begin(const arrival& request, run_offset now);
    void send_attempt(const request_ptr& request, run_offset now);
    void send_further_attempts(run_offset now);
    void attempt_ended(const request_ptr& request, const http::transfer_result& end);
    void end(const request_ptr& request, const request_result& result, run_offset now);
    void expire(run_offset now);
    void run_commands(run_offset now);
    void run_command(const command_settings& command);
    std::optional<run_offset> next_event() const;
    bool finished(run_offset now) const;
    http::request_head head_of(const open_request& request) const;

    http::event_loop& m_loop;
    experiment m_plan;
    std::vector<key_text> m_keys;
    runner_hooks m_hooks;
    http::client m_client;
    precise_timer m_timer;
    arrival_schedule m_schedule;
    run_account m_account;
    std::optional<base::time_point> m_start;
    bool m_interrupted = false;
    bool m_finished = false;
    std::size_t m_next_target = 0;
    std::size_t m_open = 0;
    /// Requests in the order of their intended times, so that the first to time out is in front.
    std::deque<request_ptr> m_timeouts;
    /// Requests whose next attempt goes out in this round.
    std::vector<request_ptr> m_again;
    /// Commands not yet carried out, in the order of their times.
    std::deque<command_settings> m_commands;
    std::size_t m_open_commands = 0;
};

} // namespace damaskladder::load
