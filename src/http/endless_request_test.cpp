#include "damaskladder/http.hpp"
#include "http/endless_caller_fake.hpp"
#include "http/run_until.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <string>

namespace damaskladder::http {
namespace {

/// One turn for an event and one posted by the turn before; each ends with a whole read.
constexpr std::size_t max_bytes_read_in_round = std::size_t{2} * (64 + 16) * 1024;

class endless_requests : public testing::TestWithParam<endless_caller_fake::coding> {};

// Guards against a caller that sends a body as fast as the server reads it and so holds the traffic
// thread: timers do not run and other callers get no response.
TEST_P(endless_requests, leave_time_for_timers)
{
    event_loop loop;
    std::size_t read_in_round = 0;
    std::size_t most_read_in_round = 0;
    server accepting(loop, {}, [&](const std::shared_ptr<exchange>& request) {
        request->on_body([&, &received = *request] {
            const auto size = received.body().size();
            read_in_round += size;
            most_read_in_round = std::max(most_read_in_round, read_in_round);
            received.consume_body(size);
        });
    });
    ASSERT_TRUE(accepting.listen({"127.0.0.1", 0}));
    const endless_caller_fake caller(accepting.port(), GetParam());
    loop.each_round([&](base::time_point) {
        read_in_round = 0;
        return std::nullopt;
    });
    bool due = false;
    loop.call_at(event_loop::now() + std::chrono::milliseconds(20), [&] { due = true; });
    EXPECT_TRUE(run_until(loop, [&] { return due; }));
    EXPECT_LT(caller.bytes_sent(), endless_caller_fake::limit);
    EXPECT_GT(most_read_in_round, 0U);
    EXPECT_LE(most_read_in_round, max_bytes_read_in_round);
}

INSTANTIATE_TEST_SUITE_P(table, endless_requests,
                         testing::Values(endless_caller_fake::coding::sized,
                                         endless_caller_fake::coding::chunked),
                         [](const auto& tested) {
                             return tested.param == endless_caller_fake::coding::sized ? "sized"
                                                                                       : "chunked";
                         });

} // namespace
} // namespace damaskladder::http
