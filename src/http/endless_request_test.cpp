#include "damaskladder/http.hpp"
#include "http/endless_caller_fake.hpp"
#include "http/reading_meter.hpp"
#include "http/run_until.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace damaskladder::http {
namespace {

class endless_requests : public testing::TestWithParam<endless_caller_fake::coding> {};

// Guards against a caller that sends a body as fast as the server reads it and so holds the traffic
// thread: timers do not run and other callers get no response.
TEST_P(endless_requests, leave_time_for_timers)
{
    event_loop loop;
    reading_meter read(loop);
    server accepting(loop, {}, [&](const std::shared_ptr<exchange>& request) {
        request->on_body([&, &received = *request] {
            const auto size = received.body().size();
            read.add(size);
            received.consume_body(size);
        });
    });
    ASSERT_TRUE(accepting.listen({"127.0.0.1", 0}));
    const endless_caller_fake caller(accepting.port(), GetParam());
    bool due = false;
    loop.call_at(event_loop::now() + std::chrono::milliseconds(20), [&] { due = true; });
    EXPECT_TRUE(run_until(loop, [&] { return due; }));
    EXPECT_LT(caller.bytes_sent(), endless_sender::limit);
    EXPECT_GT(read.most_in_round(), 0U);
    EXPECT_LE(read.most_in_round(), reading_meter::max_in_round);
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
