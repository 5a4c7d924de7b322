#include "damaskladder/http.hpp"
#include "http/raw_socket_fake.hpp"
#include "http/run_until.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>

namespace damaskladder::http {
namespace {

constexpr base::duration pause_time = std::chrono::milliseconds(100);
constexpr base::duration shorter = pause_time / 2;
constexpr base::duration longer = std::chrono::seconds(10);

struct pause_case {
    std::string name;
    /// An earlier request has left a connection that can be used again.
    bool connected_before;
    /// The pause is between the readiness of the new connection and its handling; otherwise it is
    /// between send() and the next round of the loop.
    bool while_connecting;
    base::duration connect_timeout;
    base::duration timeout;
    transfer_result::kind expected_result;
};

class paused_clients : public testing::TestWithParam<pause_case> {};

// Guards against a request that is sent after a pause of the process although its time has run out
// and what permitted it may have been withdrawn.
TEST_P(paused_clients, send_nothing_that_is_late)
{
    const auto& tested = GetParam();
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    raw_socket_fake fake({response, response});
    event_loop loop;
    client out(loop);
    std::optional<transfer_result> end;
    const auto send = [&] {
        end.reset();
        client_request request;
        request.to = {"127.0.0.1", fake.port()};
        request.connect_timeout = tested.connect_timeout;
        request.timeout = tested.timeout;
        transfer::hooks hooks;
        hooks.on_end = [&](const transfer_result& result) { end = result; };
        out.send(request, hooks);
    };
    if (tested.connected_before) {
        send();
        ASSERT_TRUE(run_until(loop, [&] { return end.has_value(); }));
    }
    const auto seen_before = fake.requests_seen();
    send();
    if (tested.while_connecting) {
        loop.observe_waits([](auto, auto, auto) { std::this_thread::sleep_for(pause_time); });
    }
    else {
        std::this_thread::sleep_for(pause_time);
    }
    ASSERT_TRUE(run_until(loop, [&] { return end.has_value(); }));
    EXPECT_EQ(end->completion, tested.expected_result) << end->text;
    const bool sent = tested.expected_result == transfer_result::kind::complete;
    EXPECT_EQ(fake.requests_seen() - seen_before, sent ? 1U : 0U);
}

constexpr auto not_sent = transfer_result::kind::not_sent;
constexpr auto complete = transfer_result::kind::complete;

INSTANTIATE_TEST_SUITE_P(
    table, paused_clients,
    testing::Values(pause_case{"new_connection", false, true, shorter, longer, not_sent},
                    pause_case{"new_connection_deadline", false, true, longer, shorter, not_sent},
                    pause_case{"new_connection_in_time", false, true, longer, longer, complete},
                    pause_case{"before_connecting", false, false, shorter, longer, not_sent},
                    pause_case{"kept_connection", true, false, shorter, longer, not_sent},
                    pause_case{"kept_connection_deadline", true, false, longer, shorter, not_sent},
                    pause_case{"kept_connection_in_time", true, false, longer, longer, complete}),
    [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::http
