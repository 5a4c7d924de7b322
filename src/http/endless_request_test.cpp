#include "damaskladder/http.hpp"
#include "http/endless_caller_fake.hpp"
#include "http/loopback_connection.hpp"
#include "http/reading_meter.hpp"
#include "http/run_until.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <string>
#include <string_view>
#include <thread>

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

// Guards against a caller that is refused and sends on: the connection stayed open, and its
// descriptor in use, for as long as it sent.
TEST(endless_requests, end_the_connection_that_is_closing)
{
    event_loop loop;
    server accepting(loop, {}, [](const std::shared_ptr<exchange>&) {});
    ASSERT_TRUE(accepting.listen({"127.0.0.1", 0}));
    const auto caller = connect_to_loopback(accepting.port());
    std::atomic<bool> closed = false;
    std::atomic<int> pieces = 0;
    // Ten seconds, several times what a closing connection may take.
    constexpr int max_pieces = 100;
    std::thread sending([&] {
        const std::string_view piece = "no request\r\n";
        while (!closed && pieces < max_pieces) {
            closed = send(caller.get(), piece.data(), piece.size(), MSG_NOSIGNAL) < 0;
            ++pieces;
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
    });
    run_until(loop, [&] { return closed || pieces >= max_pieces; });
    sending.join();
    EXPECT_TRUE(closed);
}

} // namespace
} // namespace damaskladder::http
