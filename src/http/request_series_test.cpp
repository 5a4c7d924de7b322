#include "http/series_fixture.hpp"

#include <gtest/gtest.h>

#include <functional>

namespace damaskladder::http {
namespace {

using std::chrono::milliseconds;

std::string get(const std::string& target, const std::string& fields = {})
{
    return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}

std::string post(const std::string& target, const std::string& body, const std::string& fields = {})
{
    return "POST " + target +
           " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
           fields + "\r\n" + body;
}

server_limits limits_of(unsigned requests_ahead, std::int64_t waiting_size = 256 * 1024)
{
    server_limits limits;
    limits.requests_ahead = requests_ahead;
    limits.waiting_size = base::byte_count(waiting_size);
    return limits;
}

struct series_case {
    std::string name;
    server_limits limits;
    std::string sent;
    std::function<void(series_fixture&)> play;
    std::string arrived;
    std::string responses;
    std::string disconnected;
    std::string end;
};

void PrintTo(const series_case& row, std::ostream* out)
{
    *out << row.name;
}

class request_series : public testing::TestWithParam<series_case> {};

// Guards against responses that are sent for the wrong request or out of order, against requests
// that are read or kept running behind the end of the connection, and against a series that stops
// although its connection stays open.
TEST_P(request_series, are_answered_in_order)
{
    const auto& row = GetParam();
    series_fixture series(row.limits, row.sent);
    row.play(series);
    series.wait_for_responses(row.responses);
    EXPECT_EQ(series.end(), row.end);
    EXPECT_EQ(series.received(), row.responses);
    EXPECT_EQ(series.arrived(), row.arrived);
    EXPECT_EQ(series.disconnected(), row.disconnected);
    if (row.end != "open") {
        EXPECT_TRUE(
            run_until(series.loop(), [&] { return series.tested().open_exchanges() == 0; }));
    }
}

const auto several = limits_of(16);
const std::string three = get("/a") + get("/b") + get("/c");
const auto name_of_row = [](const auto& tested) { return tested.param.name; };

INSTANTIATE_TEST_SUITE_P(
    order, request_series,
    testing::Values(
        series_case{"answers_ready_in_reverse", several, three,
                    [](series_fixture& s) {
                        s.wait_for("/c");
                        s.answer_all({"/c", "/b", "/a"});
                    },
                    "/a /b /c ", "200 /a, 200 /b, 200 /c", "", "open"},
        series_case{"answers_ready_at_once", several, three,
                    [](series_fixture& s) {
                        s.wait_for("/c");
                        s.answer("/b");
                        s.answer("/a");
                        s.answer("/c");
                    },
                    "/a /b /c ", "200 /a, 200 /b, 200 /c", "", "open"},
        series_case{"refusal_in_the_middle", several, three + get("/d"),
                    [](series_fixture& s) {
                        s.wait_for("/d");
                        s.at("/b").respond({503, {}, {}}, "no");
                        s.answer_all({"/a", "/d", "/c"});
                    },
                    "/a /b /c /d ", "200 /a, 503 no, 200 /c, 200 /d", "", "open"},
        series_case{"sized_body_in_the_middle", several, get("/a") + post("/b", "body") + get("/c"),
                    [](series_fixture& s) {
                        s.wait_for("/c");
                        s.answer_all({"/c", "/b", "/a"});
                    },
                    "/a /b /c ", "200 /a, 200 /bbody, 200 /c", "", "open"},
        series_case{"chunked_body_in_the_middle", several,
                    get("/a") +
                        "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n" +
                        get("/c"),
                    [](series_fixture& s) {
                        s.wait_for("/c");
                        s.answer_all({"/c", "/b", "/a"});
                    },
                    "/a /b /c ", "200 /a, 200 /bbody, 200 /c", "", "open"},
        series_case{"chunked_response_in_the_middle", several, three,
                    [](series_fixture& s) {
                        s.wait_for("/c");
                        s.at("/b").start({});
                        s.at("/b").write("x");
                        s.answer("/c");
                        s.answer("/a");
                        s.run_for(milliseconds(5));
                        s.at("/b").write("y");
                        s.at("/b").finish();
                    },
                    "/a /b /c ", "200 /a, 200 xy, 200 /c", "", "open"},
        series_case{"head_in_the_middle", several,
                    get("/a") + "HEAD /b HTTP/1.1\r\nHost: h\r\n\r\n" + get("/c"),
                    [](series_fixture& s) {
                        s.wait_for("/c");
                        response_head head;
                        head.headers.add("X-Head", "1");
                        s.at("/b").respond(std::move(head), "not sent");
                        s.answer_all({"/c", "/a"});
                    },
                    "/a /b /c ", "200 /a, 200, 200 /c", "", "open"},
        series_case{"body_asked_for_only_at_its_turn", several,
                    get("/a") + "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
                                "Expect: 100-continue\r\n\r\n",
                    [](series_fixture& s) {
                        s.wait_for_head("/b");
                        s.run_for(milliseconds(5));
                        s.caller().try_read_all();
                        EXPECT_EQ(s.received(), "");
                        s.answer("/a");
                        s.wait_for_responses("200 /a, 100");
                        s.caller().write("xy" + get("/c"));
                        s.wait_for("/c");
                        s.answer_all({"/c", "/b"});
                    },
                    "/a /b /c ", "200 /a, 100, 200 /bxy, 200 /c", "", "open"}),
    name_of_row);

INSTANTIATE_TEST_SUITE_P(
    bounds, request_series,
    testing::Values(series_case{"one_at_a_time", limits_of(1), three,
                                [](series_fixture& s) {
                                    s.wait_for("/a");
                                    s.run_for(milliseconds(5));
                                    EXPECT_FALSE(s.has("/b"));
                                    s.answer("/a");
                                    s.wait_for("/b");
                                    s.answer("/b");
                                    s.wait_for("/c");
                                    s.answer("/c");
                                },
                                "/a /b /c ", "200 /a, 200 /b, 200 /c", "", "open"},
                    series_case{"count", limits_of(2), three,
                                [](series_fixture& s) {
                                    s.wait_for("/b");
                                    s.answer("/b");
                                    s.run_for(milliseconds(5));
                                    EXPECT_FALSE(s.has("/c"));
                                    s.answer("/a");
                                    s.wait_for("/c");
                                    s.answer("/c");
                                },
                                "/a /b /c ", "200 /a, 200 /b, 200 /c", "", "open"},
                    series_case{"bytes_of_bodies", limits_of(16, 1000),
                                get("/a") + post("/b", std::string(600, 'b')) +
                                    post("/c", std::string(600, 'c')) + get("/d"),
                                [](series_fixture& s) {
                                    s.wait_for("/c");
                                    s.run_for(milliseconds(5));
                                    EXPECT_FALSE(s.has("/d"));
                                    EXPECT_EQ(s.tested().waiting_requests(), 2U);
                                    EXPECT_EQ(s.tested().waiting_bytes(), 1200U);
                                    s.answer("/a");
                                    s.wait_for("/d");
                                    s.at("/b").respond({}, "b");
                                    s.at("/c").respond({}, "c");
                                    s.answer("/d");
                                },
                                "/a /b /c /d ", "200 /a, 200 b, 200 c, 200 /d", "", "open"},
                    series_case{"bytes_of_responses", limits_of(16, 1000), three,
                                [](series_fixture& s) {
                                    s.wait_for("/c");
                                    s.at("/b").start({});
                                    s.at("/b").write(std::string(1000, 'b'));
                                    EXPECT_FALSE(s.at("/b").writable());
                                    EXPECT_FALSE(s.at("/c").writable());
                                    bool b_resumed = false;
                                    bool c_resumed = false;
                                    s.at("/b").on_writable([&] { b_resumed = true; });
                                    s.at("/c").on_writable([&] { c_resumed = true; });
                                    s.caller().write(get("/d"));
                                    s.run_for(milliseconds(5));
                                    EXPECT_FALSE(s.has("/d"));
                                    s.answer("/a");
                                    s.wait_for("/d");
                                    EXPECT_TRUE(b_resumed && c_resumed);
                                    s.at("/b").finish();
                                    s.answer_all({"/c", "/d"});
                                },
                                "/a /b /c /d ",
                                "200 /a, 200 " + std::string(1000, 'b') + ", 200 /c, 200 /d", "",
                                "open"}),
    name_of_row);

INSTANTIATE_TEST_SUITE_P(
    ends, request_series,
    testing::Values(
        series_case{"malformed_behind_good_ones", several, get("/a") + get("/b") + "no request\r\n",
                    [](series_fixture& s) {
                        s.wait_for("/b");
                        s.run_for(milliseconds(5));
                        s.answer_all({"/b", "/a"});
                    },
                    "/a /b ", "200 /a, 200 /b, 400 close", "", "closed"},
        series_case{"no_host_behind_good_ones", several,
                    get("/a") + "GET /b HTTP/1.1\r\n\r\n" + get("/c"),
                    [](series_fixture& s) {
                        s.wait_for("/a");
                        s.run_for(milliseconds(5));
                        s.answer("/a");
                    },
                    "/a ", "200 /a, 400 close", "", "closed"},
        series_case{"malformed_body_behind_a_good_one", several,
                    get("/a") +
                        "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                    [](series_fixture& s) {
                        s.wait_for_head("/b");
                        s.run_for(milliseconds(5));
                        s.answer("/a");
                    },
                    "/a /b ", "200 /a, 400 close", "/b ", "closed"},
        series_case{"asked_to_close_in_the_middle", several,
                    get("/a") + get("/b", "Connection: close\r\n") + get("/c"),
                    [](series_fixture& s) {
                        s.wait_for("/b");
                        s.run_for(milliseconds(5));
                        s.answer_all({"/b", "/a"});
                    },
                    "/a /b ", "200 /a, 200 close /b", "", "closed"},
        series_case{"framed_by_the_end_of_the_connection", several,
                    get("/a") + "GET /b HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + get("/c"),
                    [](series_fixture& s) {
                        s.wait_for("/c");
                        s.at("/b").start({});
                        EXPECT_EQ(s.disconnected(), "/c ");
                        s.at("/b").write("b");
                        s.at("/b").finish();
                        s.answer("/a");
                    },
                    "/a /b /c ", "200 /a, 200 close b", "/c ", "closed"},
        series_case{"abort_in_the_middle", several, three,
                    [](series_fixture& s) {
                        s.wait_for("/c");
                        s.at("/b").start({});
                        s.at("/b").write("part");
                        s.at("/b").abort();
                        EXPECT_EQ(s.disconnected(), "/c ");
                        s.run_for(milliseconds(5));
                        s.answer("/a");
                    },
                    "/a /b /c ", "200 /a", "/c ", "reset"},
        series_case{"abort_at_the_front", several, three,
                    [](series_fixture& s) {
                        s.wait_for("/c");
                        s.answer("/b");
                        s.at("/a").abort();
                        EXPECT_EQ(s.disconnected(), "/c ");
                    },
                    "/a /b /c ", "", "/c ", "reset"},
        series_case{"excess_body_in_the_middle", several, three,
                    [](series_fixture& s) {
                        s.wait_for("/c");
                        response_head head;
                        head.body_size = base::byte_count(1);
                        s.at("/b").start(head);
                        s.at("/b").write("too long");
                        s.answer("/a");
                    },
                    "/a /b /c ", "200 /a", "/c ", "reset"},
        series_case{"caller_shuts_its_sending_side", several, three,
                    [](series_fixture& s) {
                        s.wait_for("/c");
                        s.answer("/b");
                        s.caller().shut_down_sending();
                        run_until(s.loop(), [&] { return !s.disconnected().empty(); });
                    },
                    "/a /b /c ", "", "/a /c ", "closed"},
        series_case{"caller_shuts_its_sending_side_at_the_bound", limits_of(2), three,
                    [](series_fixture& s) {
                        s.wait_for("/b");
                        s.caller().shut_down_sending();
                        run_until(s.loop(), [&] { return !s.disconnected().empty(); });
                    },
                    "/a /b ", "", "/a /b ", "closed"},
        series_case{"caller_shuts_its_sending_side_after_the_answers", several, three,
                    [](series_fixture& s) {
                        s.wait_for("/c");
                        s.answer("/c");
                        s.answer("/b");
                        s.answer("/a");
                        s.caller().shut_down_sending();
                    },
                    "/a /b /c ", "200 /a, 200 /b, 200 /c", "", "closed"},
        series_case{"drain_in_the_middle", several, three,
                    [](series_fixture& s) {
                        s.wait_for("/c");
                        s.tested().drain();
                        s.tested().close_idle_connections();
                        s.caller().write(get("/d"));
                        s.run_for(milliseconds(5));
                        s.answer_all({"/c", "/b", "/a"});
                    },
                    "/a /b /c ", "200 /a, 200 /b, 200 close /c", "", "closed"}),
    name_of_row);

// Guards against a request that must wait for its turn and starts before the responses ahead of it
// have been sent, or never.
TEST(request_series, report_turns_in_order)
{
    series_fixture series(several, three);
    series.wait_for("/c");
    EXPECT_EQ(series.at("/a").ahead(), 0U);
    EXPECT_EQ(series.at("/c").ahead(), 2U);
    series.at("/a").set_tag(1);
    series.at("/b").set_tag(2);
    series.at("/c").set_tag(3);
    EXPECT_EQ(series.at("/c").tags_ahead(), (std::vector<std::uint64_t>{1, 2}));
    EXPECT_EQ(series.at("/a").tags_behind(), (std::vector<std::uint64_t>{2, 3}));
    series.answer("/b");
    series.run_for(milliseconds(5));
    EXPECT_EQ(series.turns(), "");
    series.answer("/a");
    run_until(series.loop(), [&] { return series.turns() == "/c "; });
    EXPECT_EQ(series.turns(), "/c ");
    EXPECT_EQ(series.at("/c").ahead(), 0U);
}

// Guards against a caller that leaves with all its requests still running.
TEST(request_series, are_cancelled_when_the_caller_leaves)
{
    series_fixture series(several, "");
    {
        const raw_socket_caller leaving(series.port(), three);
        series.wait_for("/c");
    }
    EXPECT_TRUE(run_until(series.loop(), [&] { return series.tested().open_exchanges() == 0; }));
    EXPECT_EQ(series.disconnected(), "/a /b /c ");
}

// Guards against a connection that is closed as idle while a response is computed, and against one
// that stays open with half a head behind a series.
TEST(request_series, are_followed_by_the_idle_time)
{
    auto limits = several;
    limits.idle_time = milliseconds(300);
    series_fixture series(limits, get("/a") + get("/b") + "GET /half HTTP/1.1\r\n");
    series.wait_for("/b");
    series.answer("/b");
    series.run_for(milliseconds(2200));
    EXPECT_EQ(series.disconnected(), "");
    series.answer("/a");
    series.wait_for_responses("200 /a, 200 /b");
    EXPECT_TRUE(run_until(series.loop(), [&] { return series.caller().try_read_all(); }));
}

// Guards against a caller that sends requests and reads no response: it must not take memory
// without bound, nor hold up other callers.
TEST(request_series, are_not_read_while_the_caller_reads_nothing)
{
    constexpr std::size_t write_size = 16 * 1024;
    const auto limits = several;
    event_loop loop;
    std::size_t arrived = 0;
    std::size_t most_waiting = 0;
    server in(loop, limits, [&](const std::shared_ptr<exchange>& request) {
        ++arrived;
        if (request->head().target == "/small") {
            request->respond({}, "ok");
            return;
        }
        request->start({});
        const auto fill = [raw = request.get()] {
            while (raw->writable()) {
                raw->write(std::string(write_size, 'x'));
            }
        };
        request->on_writable(fill);
        fill();
    });
    ASSERT_TRUE(in.listen({"127.0.0.1", 0}));
    std::string sent;
    for (int n = 0; n < 100; ++n) {
        sent += get("/endless");
    }
    const raw_socket_caller silent(in.port(), sent);
    raw_socket_caller other(in.port(), get("/small"));
    EXPECT_TRUE(run_until(loop, [&] {
        most_waiting = std::max(most_waiting, in.waiting_bytes());
        other.try_read_all();
        return response_list(other.received()) == "200 ok";
    }));
    const auto quiet = event_loop::now() + milliseconds(100);
    run_until(loop, [&] {
        most_waiting = std::max(most_waiting, in.waiting_bytes());
        return event_loop::now() > quiet;
    });
    EXPECT_LE(arrived, 1U + limits.requests_ahead);
    EXPECT_GE(most_waiting, static_cast<std::size_t>(limits.waiting_size.value()));
    EXPECT_LE(most_waiting, static_cast<std::size_t>(limits.waiting_size.value()) + 2 * write_size);
}

// Guards against more memory for an idle connection than before requests were read ahead.
static_assert(sizeof(server_connection) <= 456);

} // namespace
} // namespace damaskladder::http
