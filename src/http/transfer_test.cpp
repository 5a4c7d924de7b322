#include "damaskladder/http.hpp"
#include "http/raw_socket_fake.hpp"
#include "http/run_until.hpp"

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <string>

namespace damaskladder::http {
namespace {

struct received {
    response_head head;
    std::string body;
    std::optional<transfer_result> end;
};

transfer::hooks collect(received& into)
{
    return {.on_connected = nullptr,
            .on_head = [&](response_head head) { into.head = std::move(head); },
            .on_body =
                [&](std::string_view data) {
                    into.body += data;
                    return true;
                },
            .read_body = nullptr,
            .body_pending = nullptr,
            .on_end = [&](const transfer_result& end) { into.end = end; }};
}

class echo_sizes : public testing::TestWithParam<std::size_t> {};

// Guards against bodies that are truncated, reordered or stalled when they exceed the buffers.
TEST_P(echo_sizes, body_comes_back_whole)
{
    event_loop loop;
    client out(loop);
    server in(loop, {}, [](const std::shared_ptr<exchange>& request) {
        request->start({200, {}, request->head().body_size});
        const auto pump = [raw = request.get()] {
            const auto size = raw->body().size();
            raw->write(raw->body());
            raw->consume_body(size);
            if (raw->body_complete()) {
                raw->finish();
            }
        };
        request->on_body(pump);
    });
    ASSERT_TRUE(in.listen({"127.0.0.1", 0}));
    std::string sent(GetParam(), 'x');
    for (std::size_t i = 0; i < sent.size(); ++i) {
        sent[i] = static_cast<char>('a' + i % 23);
    }
    std::size_t position = 0;
    received response;
    auto hooks = collect(response);
    hooks.read_body = [&](char* data, std::size_t size) {
        const auto taken = sent.copy(data, size, position);
        position += taken;
        return taken;
    };
    client_request request;
    request.to = {"127.0.0.1", in.port()};
    request.head.method = "POST";
    request.head.body_size = base::byte_count(static_cast<std::int64_t>(sent.size()));
    out.send(request, hooks);
    run_until(loop, [&] { return response.end.has_value(); });
    ASSERT_TRUE(response.end);
    EXPECT_EQ(response.end->completion, transfer_result::kind::complete) << response.end->text;
    EXPECT_EQ(response.head.status, 200);
    EXPECT_EQ(response.body, sent);
}

INSTANTIATE_TEST_SUITE_P(table, echo_sizes, testing::Values(0, 1, 4096, 60000, 1000000));

/// Sends a request to a port of this VM and returns how its transfer ended.
std::optional<transfer_result> request_from(std::uint16_t port, client& out, event_loop& loop)
{
    received response;
    client_request request;
    request.to = {"127.0.0.1", port};
    out.send(request, collect(response));
    run_until(loop, [&] { return response.end.has_value(); });
    return response.end;
}

struct broken_case {
    std::string name;
    /// Responses of the fake server on one connection, one for each request. After the last one it
    /// reads one more request and closes.
    std::vector<std::string> responses;
    std::size_t requests;
    transfer_result::kind expected_result;
    std::size_t requests_seen;
};

class broken_servers : public testing::TestWithParam<broken_case> {};

// Guards against a request that is sent twice when a reused connection closes, against truncated
// responses that appear complete, and against a response attributed to the next request.
TEST_P(broken_servers, end_is_reported_and_nothing_is_sent_twice)
{
    const auto& expected = GetParam();
    raw_socket_fake fake(expected.responses);
    event_loop loop;
    client out(loop);
    std::optional<transfer_result> last;
    for (std::size_t i = 0; i < expected.requests; ++i) {
        last = request_from(fake.port(), out, loop);
    }
    ASSERT_TRUE(last);
    EXPECT_EQ(last->completion, expected.expected_result) << last->text;
    EXPECT_EQ(fake.requests_seen(), expected.requests_seen);
}

const std::string complete_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

INSTANTIATE_TEST_SUITE_P(
    table, broken_servers,
    testing::Values(
        broken_case{
            "closes a new connection without a response", {}, 1, transfer_result::kind::broken, 1},
        broken_case{"closes a reused connection without a response",
                    {complete_response},
                    2,
                    transfer_result::kind::broken,
                    2},
        broken_case{"short body",
                    {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nok"},
                    1,
                    transfer_result::kind::broken,
                    1},
        broken_case{"no last chunk",
                    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: "
                     "close\r\n\r\n2\r\nok\r\n"},
                    1,
                    transfer_result::kind::broken,
                    1},
        broken_case{"not HTTP", {"nonsense\r\n\r\n"}, 1, transfer_result::kind::broken, 1},
        broken_case{"unsolicited second response",
                    {complete_response + complete_response, complete_response},
                    2,
                    transfer_result::kind::complete,
                    2},
        broken_case{"invalid bytes after a complete response",
                    {complete_response + "more", complete_response},
                    2,
                    transfer_result::kind::complete,
                    2}),
    [](const auto& tested) { return "case_" + std::to_string(tested.index); });

struct cut_head_case {
    std::string name;
    /// What the server sends before it closes.
    std::string sent;
};

class cut_heads : public testing::TestWithParam<cut_head_case> {};

// Guards against a 200 with an empty or short body, framed as whole, for a response whose head was
// cut off.
TEST_P(cut_heads, end_as_broken)
{
    for (const bool reused_connection : {false, true}) {
        std::vector<std::string> responses = {GetParam().sent};
        if (reused_connection) {
            responses.insert(responses.begin(), complete_response);
        }
        raw_socket_fake fake(responses);
        event_loop loop;
        client out(loop);
        for (std::size_t left = responses.size(); left > 0; --left) {
            const auto end = request_from(fake.port(), out, loop);
            ASSERT_TRUE(end);
            const auto expected =
                left > 1 ? transfer_result::kind::complete : transfer_result::kind::broken;
            EXPECT_EQ(end->completion, expected) << "reused: " << reused_connection;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(
    table, cut_heads,
    testing::Values(cut_head_case{"in_the_status_line", "HTTP/1.1 200"},
                    cut_head_case{"after_the_status_line", "HTTP/1.1 200 OK\r\n"},
                    cut_head_case{"in_a_field", "HTTP/1.1 200 OK\r\nContent-Le"},
                    cut_head_case{"after_the_length", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"},
                    cut_head_case{"in_the_blank_line",
                                  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r"},
                    cut_head_case{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"},
                    cut_head_case{"of_an_interim_response", "HTTP/1.1 100 Continue\r\n"}),
    [](const auto& tested) { return tested.param.name; });

// Guards against an unknown result for a request that was certainly not sent.
TEST(transfer, refused_connection_is_not_sent)
{
    std::uint16_t unused_port = 0;
    {
        raw_socket_fake fake({});
        unused_port = fake.port();
    }
    event_loop loop;
    client out(loop);
    const auto end = request_from(unused_port, out, loop);
    ASSERT_TRUE(end);
    EXPECT_EQ(end->completion, transfer_result::kind::not_sent);
}

class aborted_responses : public testing::TestWithParam<bool> {};

// Guards against an aborted response that the caller mistakes for a complete shorter one.
TEST_P(aborted_responses, caller_sees_a_broken_transfer)
{
    const bool size_known = GetParam();
    event_loop loop;
    client out(loop);
    server in(loop, {}, [&](const std::shared_ptr<exchange>& request) {
        response_head head;
        if (size_known) {
            head.body_size = base::byte_count(100);
        }
        request->start(head);
        request->write("first part");
        loop.call_at(event_loop::now(), [request] { request->abort(); });
    });
    ASSERT_TRUE(in.listen({"127.0.0.1", 0}));
    received response;
    client_request request;
    request.to = {"127.0.0.1", in.port()};
    out.send(request, collect(response));
    run_until(loop, [&] { return response.end.has_value(); });
    ASSERT_TRUE(response.end);
    EXPECT_EQ(response.end->completion, transfer_result::kind::broken);
}

INSTANTIATE_TEST_SUITE_P(table, aborted_responses, testing::Bool());

struct disconnect_case {
    std::string request;
    /// Whether the server has started its response when the caller disconnects.
    bool response_started;
};

class disconnecting_callers : public testing::TestWithParam<disconnect_case> {};

// Guards against work that continues for a caller that disconnected while nothing was being read
// from its connection.
TEST_P(disconnecting_callers, are_detected)
{
    event_loop loop;
    bool disconnected = false;
    std::shared_ptr<exchange> held;
    server in(loop, {}, [&](const std::shared_ptr<exchange>& request) {
        held = request;
        request->on_disconnect([&] { disconnected = true; });
        if (GetParam().response_started) {
            request->start({});
            request->write("part");
        }
    });
    ASSERT_TRUE(in.listen({"127.0.0.1", 0}));
    auto caller = std::make_unique<raw_socket_caller>(in.port(), GetParam().request);
    run_until(loop, [&] { return held != nullptr; });
    caller.reset();
    run_until(loop, [&] { return disconnected; });
    EXPECT_TRUE(disconnected);
    run_until(loop, [&] { return in.open_exchanges() == 0; });
    EXPECT_EQ(in.open_exchanges(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    table, disconnecting_callers,
    testing::Values(disconnect_case{"GET / HTTP/1.1\r\nHost: a\r\n\r\n", false},
                    disconnect_case{"GET / HTTP/1.1\r\nHost: a\r\n\r\n", true},
                    disconnect_case{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
                                    false}));

struct malformed_case {
    std::string bytes;
    std::string response_prefix;
};

// Guards against a request that is never sent because it is started in a hook of another transfer,
// as a retry immediately after a rejection is.
TEST(transfer, started_in_a_hook_of_another_is_sent)
{
    event_loop loop;
    client out(loop);
    server in(loop, {}, [](const std::shared_ptr<exchange>& request) {
        request->respond({200, {}, {}}, "answer");
    });
    ASSERT_TRUE(in.listen({"127.0.0.1", 0}));
    client_request request;
    request.to = {"127.0.0.1", in.port()};
    received first;
    received second;
    std::shared_ptr<transfer> again;
    auto hooks = collect(first);
    hooks.on_head = [&](const response_head&) { again = out.send(request, collect(second)); };
    const auto sent = out.send(request, std::move(hooks));
    run_until(loop, [&] { return second.end.has_value(); });
    ASSERT_TRUE(second.end);
    EXPECT_EQ(second.body, "answer");
}

// Guards against a hook that is destroyed while it runs: a caller that cancelled the transfer from
// on_head continued with freed memory.
TEST(transfer, cancelled_in_a_hook_keeps_the_hook_until_it_returns)
{
    event_loop loop;
    client out(loop);
    server in(loop, {}, [](const std::shared_ptr<exchange>& request) {
        request->start({200, {}, {}});
    });
    ASSERT_TRUE(in.listen({"127.0.0.1", 0}));
    client_request request;
    request.to = {"127.0.0.1", in.port()};
    received got;
    auto hooks = collect(got);
    std::shared_ptr<transfer> sent;
    bool kept = false;
    hooks.on_head = [&, held = std::make_shared<int>(7)](const response_head&) {
        const std::weak_ptr<int> watched = held;
        sent->cancel();
        kept = !watched.expired();
    };
    sent = out.send(std::move(request), std::move(hooks));
    run_until(loop, [&] { return got.end.has_value(); });
    EXPECT_TRUE(kept);
    EXPECT_EQ(got.end->completion, transfer_result::kind::cancelled);
}

struct conversation_case {
    std::string name;
    std::string sent;
    std::string expected_response;
    bool closed;
};

class conversations : public testing::TestWithParam<conversation_case> {};

// Guards against responses sent for the wrong request of a connection, against a response whose end
// the caller cannot detect, and against a connection that is reused although the caller or the
// framing does not allow it.
TEST_P(conversations, follow_the_protocol)
{
    event_loop loop;
    server in(loop, {}, [](const std::shared_ptr<exchange>& request) {
        const auto response = [raw = request.get()] {
            if (!raw->started() && raw->body_complete()) {
                raw->respond({200, {}, {}}, raw->head().target + std::string(raw->body()));
            }
        };
        request->on_body(response);
    });
    ASSERT_TRUE(in.listen({"127.0.0.1", 0}));
    raw_socket_caller caller(in.port(), GetParam().sent);
    bool closed = false;
    const auto quiet = event_loop::now() + std::chrono::milliseconds(200);
    run_until(loop, [&] {
        closed = caller.try_read_all();
        return event_loop::now() > quiet;
    });
    EXPECT_EQ(caller.received(), GetParam().expected_response);
    EXPECT_EQ(closed, GetParam().closed);
}

INSTANTIATE_TEST_SUITE_P(
    table, conversations,
    testing::Values(
        conversation_case{"two_at_once",
                          "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
                          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n/a"
                          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n/b",
                          false},
        conversation_case{"body_and_next",
                          "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxy"
                          "GET /b HTTP/1.1\r\nHost: h\r\n\r\n",
                          "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n/axy"
                          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n/b",
                          false},
        conversation_case{
            "asked_to_close", "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n/a", true},
        conversation_case{"old_version", "GET /a HTTP/1.0\r\n\r\n",
                          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n/a",
                          true},
        conversation_case{"head_only", "HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n",
                          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", false},
        conversation_case{"interim_answer_wanted",
                          "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
                          "Expect: 100-continue\r\n\r\n",
                          "HTTP/1.1 100 Continue\r\n\r\n", false},
        conversation_case{"smuggled_request",
                          "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                          "GET /b HTTP/1.1\r\nHost: h\r\n\r\n",
                          "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n"
                          "Connection: close\r\n\r\n",
                          true}),
    [](const auto& tested) { return tested.param.name; });

// Guards against a loop that spins while a connection is pending and no descriptor is available.
TEST(server, waits_while_no_descriptor_is_left)
{
    event_loop loop;
    int rounds = 0;
    loop.each_round([&](base::time_point) -> std::optional<base::time_point> {
        ++rounds;
        return std::nullopt;
    });
    server in(loop, {}, [](const std::shared_ptr<exchange>& request) {
        request->respond({200, {}, {}}, "ok");
    });
    ASSERT_TRUE(in.listen({"127.0.0.1", 0}));
    rlimit before{};
    getrlimit(RLIMIT_NOFILE, &before);
    raw_socket_caller caller(in.port(), "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    // All descriptors below the limit are in use, so none can be opened.
    rlimit none = before;
    none.rlim_cur = 3;
    setrlimit(RLIMIT_NOFILE, &none);
    loop.call_at(event_loop::now() + std::chrono::milliseconds(500), [&] { loop.stop(); });
    loop.run();
    setrlimit(RLIMIT_NOFILE, &before);
    EXPECT_LT(rounds, 20);
    run_until(loop, [&] {
        caller.try_read_all();
        return !caller.received().empty();
    });
    EXPECT_EQ(caller.received().substr(0, 12), "HTTP/1.1 200");
}

struct drain_case {
    std::string name;
    /// Sent before the loop runs for the first time.
    std::string early;
    /// The loop runs before the rest is sent, so that the connection is accepted.
    bool is_accepted;
    std::string late;
};

class draining_servers : public testing::TestWithParam<drain_case> {};

// Guards against a planned stop that closes a connection on which a request has just arrived: the
// caller cannot tell whether it ran.
TEST_P(draining_servers, answer_what_has_arrived)
{
    event_loop loop;
    server in(loop, {}, [](const std::shared_ptr<exchange>& request) {
        request->respond({200, {}, {}}, "ok");
    });
    ASSERT_TRUE(in.listen({"127.0.0.1", 0}));
    raw_socket_caller caller(in.port(), GetParam().early);
    if (GetParam().is_accepted) {
        loop.call_at(event_loop::now() + std::chrono::milliseconds(20), [&] { loop.stop(); });
        loop.run();
    }
    caller.write(GetParam().late);
    in.drain();
    in.close_idle_connections();
    run_until(loop, [&] { return caller.try_read_all(); });
    EXPECT_EQ(caller.received(),
              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok");
}

const std::string whole_request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(table, draining_servers,
                         testing::Values(drain_case{"on_an_open_connection", "", true,
                                                    whole_request},
                                         drain_case{"on_a_connection_that_is_not_accepted_yet",
                                                    whole_request, false, ""},
                                         drain_case{"in_two_parts", whole_request.substr(0, 9),
                                                    true, whole_request.substr(9)}),
                         [](const auto& tested) { return tested.param.name; });

// Guards against a connection that stays open in a planned stop because its answer began before it:
// a request that comes on it late in the stop is broken off.
TEST(draining_server, closes_a_connection_whose_answer_began_before)
{
    event_loop loop;
    std::shared_ptr<exchange> busy;
    server in(loop, {}, [&](const std::shared_ptr<exchange>& request) {
        busy = request;
        busy->start({200, {}, base::byte_count(2)});
        busy->write("o");
    });
    ASSERT_TRUE(in.listen({"127.0.0.1", 0}));
    raw_socket_caller caller(in.port(), whole_request);
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
    ASSERT_TRUE(run_until(loop, [&] {
        caller.try_read_all();
        return caller.received() == head + "o";
    }));
    in.drain();
    in.close_idle_connections();
    busy->write("k");
    busy->finish();
    EXPECT_TRUE(run_until(loop, [&] { return caller.try_read_all(); }));
    EXPECT_EQ(caller.received(), head + "ok");
}

struct reuse_case {
    std::string name;
    std::string first_response;
    std::chrono::milliseconds pause;
    std::size_t connections;
};

class reused_connections : public testing::TestWithParam<reuse_case> {};

// Guards against a request on a connection that the server may be closing, which leaves it unknown
// whether the request was processed, against a new connection for each request, and against a
// second copy of an answer that is taken for the answer to the next request.
TEST_P(reused_connections, are_used_until_the_server_may_close_them)
{
    raw_socket_fake fake({GetParam().first_response, complete_response});
    event_loop loop;
    client out(loop);
    for (int i = 0; i < 2; ++i) {
        received response;
        client_request request;
        request.to = {"127.0.0.1", fake.port()};
        out.send(request, collect(response));
        run_until(loop, [&] { return response.end.has_value(); });
        ASSERT_TRUE(response.end);
        EXPECT_EQ(response.end->completion, transfer_result::kind::complete) << response.end->text;
        const auto next = event_loop::now() + GetParam().pause;
        run_until(loop, [&] { return event_loop::now() >= next; });
    }
    EXPECT_EQ(fake.connections_seen(), GetParam().connections);
}

INSTANTIATE_TEST_SUITE_P(
    table, reused_connections,
    testing::Values(
        reuse_case{"at_once", complete_response, std::chrono::milliseconds(1), 1},
        reuse_case{"within_the_limit",
                   "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok",
                   std::chrono::milliseconds(100), 1},
        reuse_case{"near_the_limit",
                   "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok",
                   std::chrono::milliseconds(800), 2},
        reuse_case{"second_copy_of_the_answer", complete_response + complete_response,
                   std::chrono::milliseconds(1), 2},
        reuse_case{"second_copy_cut_short", complete_response + "HTTP/1.1 200 OK\r\nConte",
                   std::chrono::milliseconds(1), 2},
        reuse_case{"asked_to_close",
                   "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
                   std::chrono::milliseconds(1), 2}),
    [](const auto& tested) { return tested.param.name; });

class malformed_requests : public testing::TestWithParam<malformed_case> {};

// Guards against a crash or a leaked exchange on malformed input.
TEST_P(malformed_requests, are_rejected)
{
    event_loop loop;
    server in(loop, {},
              [](const std::shared_ptr<exchange>& request) { request->respond({}, "ok"); });
    ASSERT_TRUE(in.listen({"127.0.0.1", 0}));
    raw_socket_caller caller(in.port(), GetParam().bytes);
    const auto& prefix = GetParam().response_prefix;
    if (prefix.empty()) {
        caller.shut_down_sending();
    }
    run_until(loop, [&] {
        const bool closed = caller.try_read_all();
        return closed || (!prefix.empty() && caller.received().size() >= prefix.size());
    });
    EXPECT_EQ(caller.received().substr(0, prefix.size()), prefix);
    run_until(loop, [&] { return in.open_exchanges() == 0; });
    EXPECT_EQ(in.open_exchanges(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    table, malformed_requests,
    testing::Values(
        malformed_case{"\r\n\r\n\r\n", ""}, malformed_case{std::string(64, '\0'), ""},
        malformed_case{"GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(20000, 'y') + "\r\n\r\n",
                       "HTTP/1.1 431"},
        malformed_case{"GET /" + std::string(20000, 'y') + " HTTP/1.1\r\n\r\n", "HTTP/1.1 414"},
        malformed_case{"GET / HTTP/1.1\r\n\r\n", "HTTP/1.1 400"},
        malformed_case{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n", "HTTP/1.1 400"}));

} // namespace
} // namespace damaskladder::http
