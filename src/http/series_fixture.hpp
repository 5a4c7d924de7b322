#pragma once

#include "http/raw_socket_fake.hpp"
#include "http/response_list.hpp"
#include "http/run_until.hpp"
#include "http/server.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace damaskladder::http {

/// Test helper: a server whose requests are answered by the test, and a caller that sends a series
/// of requests on one connection. Requests are named by their target.
class series_fixture {
public:
    explicit series_fixture(const server_limits& limits, const std::string& sent)
        : m_server(m_loop, limits,
                   [this](const std::shared_ptr<exchange>& request) { on_request(request); }),
          m_port(listen()),
          m_caller(m_port, sent)
    {
    }

    event_loop& loop() { return m_loop; }
    server& tested() { return m_server; }
    raw_socket_caller& caller() { return m_caller; }
    std::uint16_t port() const { return m_port; }

    /// The request with this target, which must have arrived.
    exchange& at(const std::string& target) { return *m_requests.at(target); }
    bool has(const std::string& target) const { return m_requests.count(target) != 0; }

    /// Runs the loop until the request has arrived completely.
    void wait_for(const std::string& target)
    {
        run_until(m_loop, [&] { return has(target) && at(target).body_complete(); });
    }
    void wait_for_head(const std::string& target)
    {
        run_until(m_loop, [&] { return has(target); });
    }

    void run_for(base::duration time)
    {
        m_loop.call_at(event_loop::now() + time, [this] { m_loop.stop(); });
        m_loop.run();
    }

    /// Answers a request with 200 and its target and body.
    void answer(const std::string& target)
    {
        auto& request = at(target);
        request.respond({}, target + std::string(request.body()));
    }
    void answer_all(const std::vector<std::string>& targets)
    {
        for (const auto& target : targets) {
            answer(target);
            run_for(std::chrono::milliseconds(1));
        }
    }

    /// Runs the loop until the caller has received this list of responses, see response_list().
    void wait_for_responses(const std::string& list)
    {
        run_until(m_loop, [&] {
            m_caller.try_read_all();
            return received() == list;
        });
    }
    std::string received() const { return response_list(m_caller.received(), "X-Head"); }

    /// How the connection stands after all is sent: "open", "closed" or "reset".
    std::string end()
    {
        bool closed = false;
        const auto quiet = event_loop::now() + std::chrono::milliseconds(30);
        run_until(m_loop, [&] {
            closed = closed || m_caller.try_read_all();
            return closed || event_loop::now() > quiet;
        });
        return m_caller.was_reset() ? "reset" : closed ? "closed" : "open";
    }

    /// Targets in the order of arrival, of on_disconnect and of on_turn, each followed by a blank.
    const std::string& arrived() const { return m_arrived; }
    const std::string& disconnected() const { return m_disconnected; }
    const std::string& turns() const { return m_turns; }

private:
    std::uint16_t listen()
    {
        m_server.listen({"127.0.0.1", 0}).value();
        return m_server.port();
    }

    void on_request(const std::shared_ptr<exchange>& request)
    {
        const auto target = request->head().target;
        m_requests[target] = request;
        m_arrived += target + " ";
        request->on_disconnect([this, target] { m_disconnected += target + " "; });
        request->on_turn([this, target] { m_turns += target + " "; });
    }

    event_loop m_loop;
    std::map<std::string, std::shared_ptr<exchange>> m_requests;
    std::string m_arrived;
    std::string m_disconnected;
    std::string m_turns;
    server m_server;
    std::uint16_t m_port;
    raw_socket_caller m_caller;
};

} // namespace damaskladder::http
