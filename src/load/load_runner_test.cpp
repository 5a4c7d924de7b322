#include "http/server.hpp"
#include "load/load_runner.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace damaskladder::load {
namespace {

/// A server whose response depends on the path. Records the request ids it receives.
class fake_server {
public:
    explicit fake_server(http::event_loop& loop)
        : m_server(loop, {},
                   [this](const std::shared_ptr<http::exchange>& request) { answer(request); })
    {
        m_server.listen({"127.0.0.1", 0}).value();
    }

    std::uint16_t port() const { return m_server.port(); }
    const std::map<std::string, int>& attempts_by_id() const { return m_attempts_by_id; }

private:
    void answer(const std::shared_ptr<http::exchange>& request)
    {
        if (const auto* id = request->head().headers.find("Idempotency-Key")) {
            ++m_attempts_by_id[*id];
        }
        const auto& path = request->head().target;
        if (path == "/refuse") {
            request->respond(refusal(), "refused\n");
        }
        else if (path == "/refuse-once" && !m_refused) {
            m_refused = true;
            request->respond(refusal(), "refused\n");
        }
        else if (path == "/break") {
            request->start({200, {}, base::byte_count(100)});
            request->write("short");
            request->abort();
        }
        else if (path == "/hang") {
            m_hanging.push_back(request);
        }
        else {
            request->respond({200, {}, std::nullopt}, "ok\n");
        }
    }

    static http::response_head refusal()
    {
        return {429,
                {{"Damaskladder-Outcome", "not-run"}, {"Damaskladder-Reason", "rate"}},
                std::nullopt};
    }

    http::server m_server;
    std::map<std::string, int> m_attempts_by_id;
    bool m_refused = false;
    std::vector<std::shared_ptr<http::exchange>> m_hanging;
};

struct runner_case {
    const char* name;
    const char* path;
    unsigned retries;
    result_class kind;
    /// Attempts for each request, and additional attempts in the whole run.
    std::uint64_t attempts_per_request;
    std::uint64_t extra_attempts;
};

run_report run_case(const runner_case& from, fake_server& fake, http::event_loop& loop)
{
    experiment plan;
    plan.duration = std::chrono::seconds(1);
    plan.targets = {{"127.0.0.1", fake.port()}};
    // Long where responses are expected, so that a slow machine does not cause timeouts.
    plan.timeout = from.kind == result_class::timed_out
                       ? base::duration(std::chrono::milliseconds(20))
                       : base::duration(std::chrono::seconds(60));
    auto& stream = plan.streams.emplace_back();
    stream.name = stream_name("a");
    stream.path = from.path;
    stream.rate = request_rate(50);
    stream.retries = from.retries;
    stream.non_idempotent = true;
    stream.within_rate = true;
    std::uint64_t id_counter = 0;
    load_runner runner(loop, plan, {},
                       {[] { return base::wall_time(std::chrono::seconds(1700)); },
                        [&id_counter] { return ++id_counter; }, [&loop] { loop.stop(); }});
    runner.start();
    loop.run();
    return runner.report();
}

class runner : public testing::TestWithParam<runner_case> {};

// Guards against requests missing from the statistics, retries with a new request id, and refusals
// or truncated responses counted as goodput.
TEST_P(runner, counts_each_request_once)
{
    http::event_loop loop;
    fake_server fake(loop);
    const auto report = run_case(GetParam(), fake, loop);
    const auto& stream = report.streams.front();
    const auto demand = stream.total.demand.value();
    ASSERT_GT(demand, 0U);
    EXPECT_EQ(stream.count(GetParam().kind).value(), demand);
    EXPECT_EQ(stream.attempts.value(),
              demand * GetParam().attempts_per_request + GetParam().extra_attempts);
    const bool success = GetParam().kind == result_class::success;
    EXPECT_EQ(report.total.good.value(), success ? demand : 0);
    EXPECT_EQ(report.latency.count.value(), success ? demand : 0);
    const bool refused = GetParam().kind == result_class::refused_not_run;
    EXPECT_EQ(report.wrongful_refusals.value(),
              refused ? stream.attempts.value() : GetParam().extra_attempts);
    if (GetParam().kind != result_class::timed_out) {
        EXPECT_EQ(fake.attempts_by_id().size(), demand);
        EXPECT_EQ(fake.attempts_by_id().begin()->first.substr(0, 5), "1700-");
    }
}

INSTANTIATE_TEST_SUITE_P(
    table, runner,
    testing::Values(runner_case{"whole", "/ok", 2, result_class::success, 1, 0},
                    runner_case{"refused", "/refuse", 0, result_class::refused_not_run, 1, 0},
                    runner_case{"retries_hard", "/refuse", 3, result_class::refused_not_run, 4, 0},
                    runner_case{"retry_succeeds", "/refuse-once", 1, result_class::success, 1, 1},
                    runner_case{"broken", "/break", 2, result_class::broken, 1, 0},
                    runner_case{"timed_out", "/hang", 2, result_class::timed_out, 1, 0}),
    [](const auto& tested) { return std::string(tested.param.name); });

// Guards against exceeding max_outstanding, and against withheld requests missing from demand.
TEST(load_runner, withholds_beyond_max_outstanding)
{
    http::event_loop loop;
    fake_server fake(loop);
    experiment plan;
    plan.duration = std::chrono::seconds(1);
    plan.targets = {{"127.0.0.1", fake.port()}};
    plan.max_outstanding = 1;
    auto& stream = plan.streams.emplace_back();
    stream.path = "/hang";
    stream.rate = request_rate(50);
    load_runner runner(loop, plan, {},
                       {[] { return base::wall_time(); }, [] { return std::uint64_t(1); },
                        [&loop] { loop.stop(); }});
    runner.start();
    loop.run();
    const auto report = runner.report();
    const auto& counts = report.streams.front();
    EXPECT_GT(counts.count(result_class::withheld).value(), 0U);
    EXPECT_EQ(counts.attempts.value() + counts.count(result_class::withheld).value(),
              counts.total.demand.value());
}

} // namespace
} // namespace damaskladder::load
