#include "damaskladder/http.hpp"
#include "http/early_answer_fake.hpp"
#include "http/loopback_connection.hpp"
#include "http/run_until.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <ostream>
#include <string>

namespace damaskladder::http {
namespace {

/// Larger than the buffers of both sides, so that the upload never ends by itself.
constexpr std::int64_t upload_size = std::int64_t{64} * 1024 * 1024;
const std::string head = "HTTP/1.1 200 OK\r\nConnection: close\r\n";

struct answer_case {
    std::string name;
    std::string response;
    server_end end;
    /// The client takes no bytes of the body before the server has ended.
    bool reading_paused;
    transfer_result::kind expected;
};

void PrintTo(const answer_case& value, std::ostream* out)
{
    *out << value.name;
}

class early_answers : public testing::TestWithParam<answer_case> {};

// Guards against an answer without a length that is cut by a reset and passed on as complete: the
// write of the upload took the error from the socket, and the read after it saw a clean end.
TEST_P(early_answers, are_complete_only_if_the_server_has_closed)
{
    const auto& tested = GetParam();
    early_answer_fake fake(tested.response, tested.end);
    event_loop loop;
    client out(loop);
    std::optional<transfer_result> end;
    std::string body;
    bool taking = !tested.reading_paused;
    transfer::hooks hooks;
    hooks.on_body = [&](std::string_view data) {
        if (taking) {
            body += data;
        }
        return taking;
    };
    hooks.read_body = [](char* data, std::size_t size) {
        std::fill_n(data, size, 'u');
        return size;
    };
    hooks.on_end = [&](const transfer_result& result) { end = result; };
    client_request request;
    request.to = {"127.0.0.1", fake.port()};
    request.head.method = "POST";
    request.head.body_size = base::byte_count(upload_size);
    const auto sent = out.send(request, hooks);
    if (tested.reading_paused) {
        const auto until = event_loop::now() + 5 * early_answer_fake::until_blocked;
        run_until(loop, [&] { return event_loop::now() > until; });
        taking = true;
        sent->resume();
    }
    ASSERT_TRUE(run_until(loop, [&] { return end.has_value(); }));
    EXPECT_EQ(end->completion, tested.expected) << end->text;
    if (tested.expected == transfer_result::kind::complete) {
        EXPECT_EQ(body, "half");
    }
}

constexpr auto complete = transfer_result::kind::complete;
constexpr auto broken = transfer_result::kind::broken;
const std::string without_length = head + "\r\nhalf";
const std::string whole = head + "Content-Length: 4\r\n\r\nhalf";
const std::string with_length = head + "Content-Length: 8\r\n\r\nhalf";
const std::string without_last_chunk = head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";

INSTANTIATE_TEST_SUITE_P(
    table, early_answers,
    testing::Values(
        answer_case{"without_length_reset", without_length, server_end::reset, false, broken},
        answer_case{"without_length_reset_while_paused", without_length, server_end::reset, true,
                    broken},
        answer_case{"without_length_closed", without_length, server_end::closed, false, complete},
        answer_case{"without_length_closed_while_paused", without_length, server_end::closed, true,
                    complete},
        answer_case{"without_length_closed_then_reset", without_length,
                    server_end::closed_then_reset, false, complete},
        answer_case{"without_length_closed_then_reset_while_paused", without_length,
                    server_end::closed_then_reset, true, complete},
        answer_case{"whole_reset", whole, server_end::reset, false, complete},
        answer_case{"short_reset", with_length, server_end::reset, false, broken},
        answer_case{"short_closed", with_length, server_end::closed, false, broken},
        answer_case{"no_last_chunk_reset", without_last_chunk, server_end::reset, false, broken},
        answer_case{"no_last_chunk_closed", without_last_chunk, server_end::closed, false, broken}),
    [](const auto& tested) { return tested.param.name; });

struct caller_case {
    std::string name;
    std::string request;
    bool reset;
    /// The server has begun its response and still writes.
    bool responding;
};

void PrintTo(const caller_case& value, std::ostream* out)
{
    *out << value.name;
}

class cut_uploads : public testing::TestWithParam<caller_case> {};

// Guards against an upload that its caller has cut and that the handler takes as complete.
TEST_P(cut_uploads, are_disconnected_and_never_complete)
{
    const auto& tested = GetParam();
    event_loop loop;
    std::shared_ptr<exchange> received;
    bool disconnected = false;
    bool completed = false;
    server in(loop, {}, [&](const std::shared_ptr<exchange>& request) {
        received = request;
        request->on_body([&] { completed = completed || received->body_complete(); });
        request->on_disconnect([&] { disconnected = true; });
        if (tested.responding) {
            request->start({200, {}, std::nullopt});
            request->write(std::string(4096, 'r'));
        }
    });
    ASSERT_TRUE(in.listen({"127.0.0.1", 0}));
    std::optional<base::file_descriptor> caller(connect_to_loopback(in.port()));
    send(caller->get(), tested.request.data(), tested.request.size(), MSG_NOSIGNAL);
    ASSERT_TRUE(run_until(loop, [&] { return received && received->body() == "half"; }));
    if (tested.reset) {
        const linger none{1, 0};
        setsockopt(caller->get(), SOL_SOCKET, SO_LINGER, &none, sizeof none);
    }
    else {
        shutdown(caller->get(), SHUT_WR);
    }
    caller.reset();
    if (tested.responding) {
        // This write meets the end before the loop reports it.
        received->write(std::string(4096, 'r'));
    }
    EXPECT_TRUE(run_until(loop, [&] { return disconnected; }));
    EXPECT_FALSE(completed);
    EXPECT_FALSE(received->body_complete());
}

const std::string sized_upload = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\nhalf";
const std::string chunked_upload =
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";

INSTANTIATE_TEST_SUITE_P(
    table, cut_uploads,
    testing::Values(caller_case{"sized_closed", sized_upload, false, false},
                    caller_case{"sized_reset", sized_upload, true, false},
                    caller_case{"chunked_closed", chunked_upload, false, false},
                    caller_case{"chunked_reset", chunked_upload, true, false},
                    caller_case{"sized_closed_while_responding", sized_upload, false, true},
                    caller_case{"sized_reset_while_responding", sized_upload, true, true},
                    caller_case{"chunked_reset_while_responding", chunked_upload, true, true}),
    [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::http
