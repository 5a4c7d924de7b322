#pragma once

#include "http/client.hpp"
#include "http/server.hpp"
#include "standin/announcer.hpp"
#include "standin/run_counter.hpp"
#include "standin/running_request.hpp"
#include "standin/standin_options.hpp"

#include <deque>
#include <memory>
#include <random>

namespace damaskladder::standin {

/// A backend server for tests and experiments. It processes a limited number of requests (slots) at
/// a time, with service times from a distribution, makes onward calls, and can inject faults.
///
/// Control requests, on its own port:
///   GET /-/runs                     JSON with runs, duplicates, cancelled, waiting, running
///   GET /-/runs?id=ID               runs of one request id
///   PUT /-/slow?factor=F            multiplies service times by F
///   PUT /-/drain, DELETE /-/announce   passed on to the node
class stand_in {
public:
    stand_in(http::event_loop& loop, standin_options options);

    /// Starts serving and announces itself. Fails with io.
    base::result<void> start();

    std::uint16_t port() const { return m_server.port(); }
    /// Withdraws the announcement and completes open requests; done() is true when none is left.
    void stop();
    bool done() const { return m_stopping && m_open_requests == 0; }

private:
    using request = std::shared_ptr<running_request>;

    void on_request(const std::shared_ptr<http::exchange>& exchange);
    void handle_control_request(http::exchange& exchange);
    std::string control_report(std::string_view target) const;
    void start_processing(const request& next);
    void call_onward(const request& current);
    void finish(const request& current);
    void release(const request& current);
    void start_waiting_requests();
    bool is_cold() const;

    http::event_loop& m_loop;
    standin_options m_options;
    http::client m_client;
    http::server m_server;
    announcer m_announcer;
    run_counter m_runs;
    std::deque<request> m_waiting;
    std::int64_t m_running = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_shed = 0;
    std::size_t m_open_requests = 0;
    double m_slow_factor = 1;
    base::time_point m_cold_until;
    bool m_stopping = false;
    std::mt19937_64 m_random;
};

} // namespace damaskladder::standin
