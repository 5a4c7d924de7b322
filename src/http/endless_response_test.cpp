#include "damaskladder/http.hpp"
#include "http/endless_server_fake.hpp"
#include "http/run_until.hpp"

#include <gtest/gtest.h>

#include <string>

namespace damaskladder::http {
namespace {

/// What a client may read before it gives up: several times the limit of a head and the buffers of
/// the sockets between.
constexpr std::size_t max_bytes_read = std::size_t{16} * 1024 * 1024;

struct endless_case {
    std::string name;
    std::string prefix;
    std::string piece;
};

class endless_heads : public testing::TestWithParam<endless_case> {};

// Guards against a backend server in trouble that sends a head without end, which would hold the
// traffic thread and every other request of the node for as long as it sends.
TEST_P(endless_heads, are_given_up)
{
    endless_server_fake fake(GetParam().prefix, GetParam().piece);
    event_loop loop;
    client out(loop);
    client_request request;
    request.to = {"127.0.0.1", fake.port()};
    std::optional<transfer_result> end;
    transfer::hooks hooks;
    hooks.on_end = [&](const transfer_result& result) { end = result; };
    out.send(request, hooks);
    run_until(loop, [&] { return end.has_value() && fake.ended(); });
    ASSERT_TRUE(end);
    EXPECT_EQ(end->completion, transfer_result::kind::broken) << end->text;
    EXPECT_LT(fake.bytes_sent(), max_bytes_read);
}

const std::string head = "HTTP/1.1 200 OK\r\n";

INSTANTIATE_TEST_SUITE_P(
    table, endless_heads,
    testing::Values(
        endless_case{"blank_lines", "", "\r\n"}, endless_case{"reason", "HTTP/1.1 200 ", "a"},
        endless_case{"field_name", head, "a"}, endless_case{"field_value", head + "a: ", "a"},
        endless_case{"fields", head, "a: b\r\n"},
        endless_case{"interim_responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
        endless_case{"chunk_size", head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
        endless_case{"chunk_extension", head + "Transfer-Encoding: chunked\r\n\r\n1;", "a"},
        endless_case{"trailers", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n"}),
    [](const auto& tested) { return tested.param.name; });

class endless_bodies : public testing::TestWithParam<endless_case> {};

// Guards against a body without end that holds the traffic thread: timers do not run, and the
// cancellation of the request does not take effect while the backend server sends.
TEST_P(endless_bodies, leave_time_for_timers_and_end_when_cancelled)
{
    endless_server_fake fake(GetParam().prefix, GetParam().piece);
    event_loop loop;
    client out(loop);
    client_request request;
    request.to = {"127.0.0.1", fake.port()};
    std::optional<transfer_result> end;
    std::shared_ptr<transfer> started;
    transfer::hooks hooks;
    hooks.on_body = [](std::string_view) { return true; };
    hooks.on_end = [&](const transfer_result& result) { end = result; };
    started = out.send(request, hooks);
    loop.call_at(event_loop::now() + std::chrono::milliseconds(20), [&] { started->cancel(); });
    run_until(loop, [&] { return end.has_value() && fake.ended(); });
    ASSERT_TRUE(end);
    EXPECT_EQ(end->completion, transfer_result::kind::cancelled) << end->text;
    EXPECT_LT(fake.bytes_sent(), endless_server_fake::limit);
}

INSTANTIATE_TEST_SUITE_P(
    table, endless_bodies,
    testing::Values(endless_case{"until_close", head + "\r\n", "a"},
                    endless_case{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n",
                                 "1\r\na\r\n"},
                    endless_case{"long", head + "Content-Length: 99999999999\r\n\r\n", "a"}),
    [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::http
