#include "damaskladder/http.hpp"
#include "http/endless_server_fake.hpp"
#include "http/reading_meter.hpp"
#include "http/run_until.hpp"

#include <gtest/gtest.h>

#include <chrono>
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

/// A request to a server that sends the bytes of the case.
class endless_responses : public testing::TestWithParam<endless_case> {
protected:
    std::shared_ptr<transfer> send_request()
    {
        client_request request;
        request.to = {"127.0.0.1", m_fake.port()};
        transfer::hooks hooks;
        hooks.on_body = [this](std::string_view data) {
            m_read.add(data.size());
            return m_takes_body;
        };
        hooks.on_end = [this](const transfer_result& result) { m_end = result; };
        return m_out.send(request, hooks);
    }

    void run_until_ended()
    {
        run_until(m_loop, [this] { return m_end.has_value() && m_fake.ended(); });
    }

    endless_server_fake m_fake{GetParam().prefix, GetParam().piece};
    event_loop m_loop;
    reading_meter m_read{m_loop};
    client m_out{m_loop};
    std::optional<transfer_result> m_end;
    bool m_takes_body = true;
};

class endless_heads : public endless_responses {};

// Guards against a backend server in trouble that sends a head without end, which would hold the
// traffic thread and every other request of the node for as long as it sends.
TEST_P(endless_heads, are_given_up)
{
    send_request();
    run_until_ended();
    ASSERT_TRUE(m_end);
    EXPECT_EQ(m_end->completion, transfer_result::kind::broken) << m_end->text;
    EXPECT_LT(m_fake.bytes_sent(), max_bytes_read);
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

class endless_bodies : public endless_responses {};

// Guards against a node that keeps a body without end in memory while the caller does not read.
TEST_P(endless_bodies, are_not_read_while_nobody_takes_them)
{
    m_takes_body = false;
    const auto started = send_request();
    m_loop.call_at(event_loop::now() + std::chrono::milliseconds(300), [&] { started->cancel(); });
    run_until_ended();
    ASSERT_TRUE(m_end);
    EXPECT_LE(m_read.most_in_round(), reading_meter::max_in_round);
    EXPECT_LT(m_fake.bytes_sent(), max_bytes_read);
}

// Guards against a body without end that holds the traffic thread: timers do not run, and the
// cancellation of the request does not take effect while the backend server sends.
TEST_P(endless_bodies, leave_time_for_timers_and_end_when_cancelled)
{
    const auto started = send_request();
    m_loop.call_at(event_loop::now() + std::chrono::milliseconds(20), [&] { started->cancel(); });
    run_until_ended();
    ASSERT_TRUE(m_end);
    EXPECT_EQ(m_end->completion, transfer_result::kind::cancelled) << m_end->text;
    EXPECT_LT(m_fake.bytes_sent(), endless_sender::limit);
    EXPECT_LE(m_read.most_in_round(), reading_meter::max_in_round);
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
