#include "daemon/own_dialect.hpp"
#include "daemon/secure_random.hpp"
#include "daemon/traffic_frontend.hpp"
#include "http/early_answer_fake.hpp"
#include "http/raw_socket_fake.hpp"
#include "http/response_list.hpp"
#include "http/run_until.hpp"
#include "http/slow_caller.hpp"
#include "node/traffic_machine.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <sstream>

namespace damaskladder::daemon {
namespace {

constexpr const char* key = "workspace-key-1";
constexpr const char* second_key = "workspace-key-2";

/// A node with the real traffic state machine on one event loop and a backend server supplied by
/// the test. Tokens and claims are granted immediately.
class frontend_fixture {
public:
    using backend = std::function<void(const std::shared_ptr<http::exchange>&)>;

    explicit frontend_fixture(backend serve, bool admit_by_call_tree = false)
        : m_secret(wire::cluster_secret::parse(std::string(64, 'a')).value()),
          m_backend(m_loop, {}, std::move(serve)),
          m_client(m_loop),
          m_machine(make_options(admit_by_call_tree)),
          m_frontend(m_loop, m_secret, base::incarnation(1), make_limits(), make_dialect(),
                     make_logic(), make_hooks())
    {
        EXPECT_TRUE(m_backend.listen({"127.0.0.1", 0}));
        EXPECT_TRUE(m_frontend.listen({{"127.0.0.1", 0}, {"127.0.0.1", 0}, {"127.0.0.1", 0}}));
        m_frontend.set_view(make_view());
    }

    /// Sends requests to another backend server, with bodies of any size.
    void use_backend(std::uint16_t port)
    {
        m_backend_port = port;
        m_max_body = base::byte_count(1 << 30);
        m_frontend.set_view(make_view());
    }

    http::event_loop& loop() { return m_loop; }
    /// Runs of the backend server that were reported as leaving.
    const std::vector<base::instance_id>& leaving() const { return m_leaving; }
    traffic_frontend& frontend() { return m_frontend; }
    const node::traffic_machine& machine() const { return m_machine; }

    struct answer {
        http::response_head head;
        std::string body;
        std::optional<http::transfer_result> end;

        std::string field(std::string_view name) const
        {
            const auto* value = head.headers.find(name);
            return value == nullptr ? "" : *value;
        }
    };

    /// Sends a request to a port of the node and returns the transfer.
    std::shared_ptr<http::transfer> send(std::uint16_t port, http::request_head head,
                                         std::string body, const std::shared_ptr<answer>& into)
    {
        http::client_request request;
        request.to = {"127.0.0.1", port};
        request.head = std::move(head);
        request.head.body_size = base::byte_count(static_cast<std::int64_t>(body.size()));
        http::transfer::hooks hooks;
        hooks.on_head = [into](http::response_head received) { into->head = std::move(received); };
        hooks.on_body = [into](std::string_view data) {
            into->body += data;
            return true;
        };
        hooks.read_body = [body = std::move(body), at = std::size_t{0}](char* out,
                                                                        std::size_t size) mutable {
            const auto taken = body.copy(out, size, at);
            at += taken;
            return taken;
        };
        hooks.on_end = [into](const http::transfer_result& end) { into->end = end; };
        return m_client.send(std::move(request), std::move(hooks));
    }

    answer call(std::uint16_t port, http::request_head head, std::string body = {})
    {
        const auto received = std::make_shared<answer>();
        send(port, std::move(head), std::move(body), received);
        run_until([&] { return received->end.has_value(); });
        return *received;
    }

    void run_for(base::duration time)
    {
        const auto end = http::event_loop::now() + time;
        http::run_until(m_loop, [&] { return http::event_loop::now() >= end; });
    }

    void run_until(const std::function<bool()>& done)
    {
        EXPECT_TRUE(http::run_until(m_loop, done));
    }

private:
    static http::server_limits make_limits()
    {
        http::server_limits limits;
        limits.requests_ahead = 16;
        return limits;
    }

    static node::traffic_options make_options(bool admit_by_call_tree)
    {
        node::traffic_options options;
        options.random = secure_random();
        options.admit_by_call_tree = admit_by_call_tree;
        return options;
    }

    /// The product's own interface, with a rate and a notice of leaving in header fields.
    static dialect make_dialect()
    {
        dialect made = own_dialect();
        made.read_backend_state = [](const http::response_head& answer) {
            backend_state state;
            if (const auto* rate = answer.headers.find("Test-Rate")) {
                state.rate = admission::requests_per_second{std::stod(*rate)};
            }
            state.leaving = answer.headers.find("Test-Leaving") != nullptr;
            return std::optional(state);
        };
        return made;
    }

    traffic_logic make_logic()
    {
        return {.handle = [this](const auto& event, const auto& view, auto now,
                                 auto& effects) { m_machine.handle(event, view, now, effects); },
                .next_deadline = [this] { return m_machine.next_deadline(); }};
    }

    traffic_hooks make_hooks()
    {
        traffic_hooks hooks;
        hooks.acquire_token = [this](const node::request_token& wanted) {
            m_frontend.deliver(node::token_granted{wanted.exchange, node::token_grant_id(1)});
        };
        hooks.refund_token = [](const auto&) {};
        hooks.exchange_ended = [](auto) {};
        hooks.acquire_claim = [this](const node::request_claim& wanted) {
            m_frontend.deliver(node::claim_granted{wanted.attempt});
        };
        hooks.release_claim = [](const auto&) {};
        hooks.complete_claim = [](const auto&) {};
        hooks.local_api = [](const auto&) {};
        hooks.backend_leaving = [this](const base::instance_id& run) { m_leaving.push_back(run); };
        return hooks;
    }

    std::shared_ptr<const traffic_view> make_view()
    {
        auto view = std::make_shared<node::node_view>();
        const base::service_id service("files");
        view->self = base::node_id("n1");
        view->own_domain = base::failure_domain_id("west");
        view->settings_version = base::settings_version(1);
        view->settings_confirmed_at = http::event_loop::now();
        m_route.service = service;
        m_route.timeout = std::chrono::seconds(10);
        m_route.retries = base::retry_count(0);
        m_route.max_body = m_max_body;
        m_route.max_staleness = std::chrono::hours(1);
        m_once = m_route;
        m_once.idempotent = false;
        m_key = {base::key_id("k1"), base::workspace_id("w1"), true};
        view->match_route = [this](std::string_view path,
                                   std::string_view) -> const node::route_entry* {
            return path.substr(0, 5) == "/once" ? &m_once : &m_route;
        };
        const wire::key_hasher hasher(m_secret, wire::key_usage::key_hashes);
        view->find_key = [this, first = hasher.hash(key),
                          second = hasher.hash(second_key)](const base::key_hash& presented) {
            return presented == first || presented == second ? &m_key : nullptr;
        };
        view->key_active = [](const base::key_id&) { return true; };
        view->weight_of = [](const base::workspace_id&) { return base::share_weight(1); };
        node::service_entry entry;
        entry.service = service;
        entry.servers.push_back({view->self, base::incarnation(1), view->own_domain,
                                 base::slot_count(4), base::slot_count(0), false});
        view->services.push_back(entry);
        view->local.push_back({service, base::slot_count(4), false, false, std::chrono::hours(1)});
        auto out = std::make_shared<traffic_view>();
        out->node = view;
        out->gatekeepers[view->self] = {"127.0.0.1", m_frontend.peers_port()};
        out->local[service] = {"127.0.0.1", m_backend_port.value_or(m_backend.port())};
        return out;
    }

    http::event_loop m_loop;
    wire::cluster_secret m_secret;
    node::route_entry m_route;
    node::route_entry m_once;
    node::key_entry m_key;
    std::vector<base::instance_id> m_leaving;
    std::optional<std::uint16_t> m_backend_port;
    base::byte_count m_max_body{4 << 20};
    http::server m_backend;
    http::client m_client;
    node::traffic_machine m_machine;
    traffic_frontend m_frontend;
};

http::request_head request_for(std::string target, http::header_list headers = {})
{
    http::request_head head;
    head.method = "POST";
    head.target = std::move(target);
    head.headers = std::move(headers);
    return head;
}

const http::header_list with_key = {{"Damaskladder-Key", key}, {"Cookie", "c=1"}};

struct state_case {
    std::string name;
    /// Field of the first answer.
    http::header_list fields;
    /// Number of requests that get an answer of the backend server, out of 8 one after the other.
    int answered;
    std::size_t leaving;
};

class answered_states : public testing::TestWithParam<state_case> {};

// Guards against what a backend server says of itself in an answer and that reaches neither its
// gatekeeper nor the other nodes.
TEST_P(answered_states, reach_the_gatekeeper)
{
    int answered = 0;
    frontend_fixture node([&](const std::shared_ptr<http::exchange>& request) {
        http::response_head head;
        head.headers = GetParam().fields;
        ++answered;
        request->respond(std::move(head), "done");
    });
    for (int request = 0; request < 8; ++request) {
        node.call(node.frontend().callers_port(),
                  request_for("/files", {{"Damaskladder-Key", key}}));
    }
    EXPECT_EQ(answered, GetParam().answered);
    EXPECT_EQ(node.leaving().size(), GetParam().leaving);
}

INSTANTIATE_TEST_SUITE_P(table, answered_states,
                         testing::Values(state_case{"none", {}, 8, 0},
                                         // The bucket holds one request.
                                         state_case{"rate", {{"Test-Rate", "0.01"}}, 2, 0},
                                         state_case{"leaving", {{"Test-Leaving", "1"}}, 1, 1}),
                         [](const auto& tested) { return tested.param.name; });

struct authorization_case {
    std::string name;
    http::header_list headers;
    /// Value of Authorization that reaches the backend server.
    std::string forwarded;
};

class authorizations : public testing::TestWithParam<authorization_case> {};

// Guards against a key that reaches a backend server in Authorization because the request also has
// Damaskladder-Key.
TEST_P(authorizations, reach_the_backend_server_without_a_key)
{
    std::optional<std::string> seen;
    frontend_fixture node([&](const std::shared_ptr<http::exchange>& request) {
        const auto* value = request->head().headers.find("Authorization");
        seen = value == nullptr ? "" : *value;
        for (const auto& field : request->head().headers) {
            EXPECT_EQ(field.value.find(key), std::string::npos) << field.name;
        }
        request->respond({}, "done");
    });
    const auto answer =
        node.call(node.frontend().callers_port(), request_for("/files", GetParam().headers));
    EXPECT_EQ(answer.head.status, 200);
    EXPECT_EQ(seen, GetParam().forwarded);
}

const std::string bearer_key = std::string("Bearer ") + key;

INSTANTIATE_TEST_SUITE_P(
    table, authorizations,
    testing::Values(authorization_case{"key_there_only", {{"Authorization", bearer_key}}, ""},
                    authorization_case{"key_in_both",
                                       {{"Damaskladder-Key", key}, {"Authorization", bearer_key}},
                                       ""},
                    authorization_case{"token_of_the_backend_server",
                                       {{"Damaskladder-Key", key}, {"Authorization", "Bearer x"}},
                                       "Bearer x"},
                    authorization_case{"other_scheme",
                                       {{"Damaskladder-Key", key}, {"Authorization", "Basic eA=="}},
                                       "Basic eA=="},
                    authorization_case{
                        "key_in_other_scheme",
                        {{"Damaskladder-Key", key}, {"authorization", std::string("Token ") + key}},
                        ""},
                    authorization_case{"key_in_another_field",
                                       {{"Damaskladder-Key", key}, {"X-Api-Key", key}},
                                       ""},
                    authorization_case{"key_within_a_word",
                                       {{"Damaskladder-Key", key},
                                        {"Referer", std::string("http://a/?k=") + key + "&b"}},
                                       ""},
                    authorization_case{"another_key_in_force_in_a_cookie",
                                       {{"Damaskladder-Key", second_key},
                                        {"Cookie", std::string("a=b; token=") + key}},
                                       ""}),
    [](const auto& tested) { return tested.param.name; });

class relayed_sizes : public testing::TestWithParam<std::size_t> {};

// Guards against truncated or interchanged responses, and against keys that reach a backend server.
TEST_P(relayed_sizes, request_and_answer_pass_whole_and_the_key_stays)
{
    http::request_head seen;
    frontend_fixture node([&](const std::shared_ptr<http::exchange>& request) {
        seen = request->head();
        http::response_head head;
        head.headers.add("X-From", "backend");
        head.headers.add("Damaskladder-Outcome", "not-run");
        request->start(head);
        const auto echo = [raw = request.get()] {
            raw->write(raw->body());
            raw->consume_body(raw->body().size());
            if (raw->body_complete()) {
                raw->finish();
            }
        };
        request->on_body(echo);
        if (seen.body_size == base::byte_count(0)) {
            request->finish();
        }
    });
    const std::string body(GetParam(), 'b');
    const auto got =
        node.call(node.frontend().callers_port(), request_for("/a/%2e?q=1", with_key), body);
    EXPECT_EQ(got.end->completion, http::transfer_result::kind::complete) << got.end->text;
    EXPECT_EQ(got.head.status, 200);
    EXPECT_EQ(got.body, body);
    EXPECT_EQ(got.field("X-From"), "backend");
    EXPECT_EQ(got.field("Damaskladder-Outcome"), "") << "a backend server must not set the outcome";
    EXPECT_EQ(seen.target, "/a/%2e?q=1");
    EXPECT_NE(seen.headers.find("Cookie"), nullptr);
    EXPECT_NE(seen.headers.find("Damaskladder-Context"), nullptr);
    for (const auto& field : seen.headers) {
        EXPECT_EQ(field.value.find(key), std::string::npos) << field.name;
    }
}

INSTANTIATE_TEST_SUITE_P(table, relayed_sizes, testing::Values(0, 5, 60000, 1000000));

struct refusal_case {
    std::string name;
    http::request_head head;
    /// Whether the request is sent to the listener for other nodes rather than the one for callers.
    bool to_peers;
    int status;
    std::string outcome;
};

class refusals : public testing::TestWithParam<refusal_case> {};

// Guards against requests that run without authorization, and against wrong reported outcomes.
TEST_P(refusals, say_what_became_of_the_request)
{
    const auto& expected = GetParam();
    bool ran = false;
    frontend_fixture node([&](const std::shared_ptr<http::exchange>& request) {
        ran = true;
        request->on_body([raw = request.get()] { raw->consume_body(raw->body().size()); });
        request->abort();
    });
    const auto port =
        expected.to_peers ? node.frontend().peers_port() : node.frontend().callers_port();
    const auto got = node.call(port, expected.head, "body");
    EXPECT_EQ(got.head.status, expected.status) << got.body;
    EXPECT_EQ(got.field("Damaskladder-Outcome"), expected.outcome);
    EXPECT_EQ(ran, expected.outcome == "unknown");
}

INSTANTIATE_TEST_SUITE_P(
    table, refusals,
    testing::Values(
        refusal_case{"no_key", request_for("/a"), false, 401, "not-run"},
        refusal_case{"unknown_key", request_for("/a", {{"Damaskladder-Key", "x"}}), false, 401,
                     "not-run"},
        refusal_case{"malformed_field",
                     request_for("/a", {{"Damaskladder-Key", key}, {"Idempotency-Key", "a b"}}),
                     false, 400, "not-run"},
        refusal_case{"no_request_id", request_for("/once", with_key), false, 400, "not-run"},
        refusal_case{
            "backend_closes",
            request_for("/once", {{"Damaskladder-Key", key}, {"Idempotency-Key", "1796380000-a"}}),
            false, 502, "unknown"},
        refusal_case{"no_context", request_for("/a", with_key), true, 403, "not-run"},
        refusal_case{"forged_context",
                     request_for("/a", {{"Damaskladder-Context", std::string(200, 'A')},
                                        {"Damaskladder-Service", "files"}}),
                     true, 403, "not-run"}),
    [](const auto& tested) { return tested.param.name; });

class slow_readers : public testing::TestWithParam<std::size_t> {};

// Guards against an answer that is cut because its last part still lies in the buffers of a process
// that counts as stopped.
TEST_P(slow_readers, have_their_answers_once_the_node_has_stopped)
{
    const std::size_t size = GetParam();
    bool answered = false;
    auto node =
        std::make_unique<frontend_fixture>([&](const std::shared_ptr<http::exchange>& request) {
            request->respond({}, std::string(size, 'r'));
            answered = true;
        });
    http::slow_caller caller(node->frontend().callers_port(),
                             std::string("GET /a HTTP/1.1\r\nHost: a\r\nDamaskladder-Key: ") + key +
                                 "\r\n\r\n");
    node->run_until([&] { return answered; });
    node->run_for(std::chrono::milliseconds(100));
    node->frontend().stop();
    for (std::size_t rounds = 0; !node->frontend().stopped(); ++rounds) {
        ASSERT_LT(rounds, size);
        caller.read_some();
        node->run_for(std::chrono::milliseconds(1));
    }
    node.reset();
    EXPECT_GE(caller.read_to_the_end(), size);
}

INSTANTIATE_TEST_SUITE_P(table, slow_readers,
                         testing::Values(1'000, 40'000, 80'000, 120'000, 160'000, 400'000));

struct early_case {
    std::string name;
    http::server_end end;
    http::transfer_result::kind expected;
};

class early_answers : public testing::TestWithParam<early_case> {};

// Guards against half an answer that its backend server reset during the upload and that the nodes
// passed on with a proper end.
TEST_P(early_answers, reach_the_caller_as_they_ended)
{
    constexpr std::size_t upload_size = std::size_t{64} << 20;
    http::early_answer_fake server("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf",
                                   GetParam().end);
    frontend_fixture node([](const std::shared_ptr<http::exchange>&) {});
    node.use_backend(server.port());
    const auto received = node.call(node.frontend().callers_port(), request_for("/a", with_key),
                                    std::string(upload_size, 'u'));
    EXPECT_EQ(received.head.status, 200);
    ASSERT_TRUE(received.end);
    EXPECT_EQ(received.end->completion, GetParam().expected) << received.end->text;
}

INSTANTIATE_TEST_SUITE_P(table, early_answers,
                         testing::Values(early_case{"reset", http::server_end::reset,
                                                    http::transfer_result::kind::broken},
                                         early_case{"closed", http::server_end::closed,
                                                    http::transfer_result::kind::complete},
                                         early_case{"closed_then_reset",
                                                    http::server_end::closed_then_reset,
                                                    http::transfer_result::kind::complete}),
                         [](const auto& tested) { return tested.param.name; });

// Guards against requests that keep running at the backend server after the caller has
// disconnected.
TEST(traffic_frontend, caller_that_leaves_cancels_at_the_backend_server)
{
    bool running = false;
    bool cancelled = false;
    std::shared_ptr<http::exchange> held;
    frontend_fixture node([&](const std::shared_ptr<http::exchange>& request) {
        running = true;
        held = request;
        request->on_disconnect([&] { cancelled = true; });
    });
    const auto received = std::make_shared<frontend_fixture::answer>();
    const auto transfer =
        node.send(node.frontend().callers_port(), request_for("/a", with_key), "body", received);
    node.run_until([&] { return running; });
    transfer->cancel();
    node.run_until([&] { return cancelled; });
    node.run_until([&] { return node.frontend().running() == 0; });
    held.reset();
}

// Guards against runs for callers that left while the node was paused.
TEST(traffic_frontend, caller_that_left_before_its_request_was_read_starts_no_run)
{
    int runs = 0;
    frontend_fixture node([&](const std::shared_ptr<http::exchange>& request) {
        ++runs;
        request->respond({}, "done");
    });
    const auto port = node.frontend().callers_port();
    // Leaves connections between the halves of the node and to the backend server.
    EXPECT_EQ(node.call(port, request_for("/a", with_key)).head.status, 200);
    std::make_unique<http::raw_socket_caller>(
        port, std::string("GET /a HTTP/1.1\r\nHost: a\r\nDamaskladder-Key: ") + key + "\r\n\r\n")
        .reset();
    EXPECT_EQ(node.call(port, request_for("/a", with_key)).head.status, 200);
    EXPECT_EQ(runs, 2) << "of the callers that stayed";
}

struct ahead_case {
    std::string name;
    /// Targets of the requests of one connection.
    std::vector<std::string> targets;
    /// Runs that begin at the backend server; those of each step after the earlier ones are
    /// answered.
    std::vector<std::string> runs;
};

class requests_ahead : public testing::TestWithParam<ahead_case> {};

// Guards against requests that wait for those ahead although they need not, and against a run of a
// request that the caller would repeat if an earlier response closed the connection.
TEST_P(requests_ahead, run_as_their_routes_allow)
{
    std::string running;
    std::vector<std::shared_ptr<http::exchange>> open;
    frontend_fixture node([&](const std::shared_ptr<http::exchange>& request) {
        running += request->head().target + " ";
        open.push_back(request);
    });
    std::string sent;
    for (const auto& target : GetParam().targets) {
        sent += "POST " + target + " HTTP/1.1\r\nHost: a\r\nIdempotency-Key: i" + target +
                "\r\nContent-Length: 0\r\nDamaskladder-Key: " + key + "\r\n\r\n";
    }
    http::raw_socket_caller caller(node.frontend().callers_port(), sent);
    const auto sorted = [](const std::string& targets) {
        std::istringstream words(targets);
        std::vector<std::string> list(std::istream_iterator<std::string>(words), {});
        std::sort(list.begin(), list.end());
        return list;
    };
    std::string expected;
    for (const auto& step : GetParam().runs) {
        expected += step;
        node.run_until([&] { return running.size() >= expected.size(); });
        // Time for a run that should not begin.
        node.loop().call_at(http::event_loop::now() + std::chrono::milliseconds(20),
                            [&] { node.loop().stop(); });
        node.loop().run();
        EXPECT_EQ(sorted(running), sorted(expected));
        while (!open.empty()) {
            open.back()->respond({}, open.back()->head().target);
            open.pop_back();
        }
    }
    std::string responses;
    for (const auto& target : GetParam().targets) {
        responses += (responses.empty() ? "200 " : ", 200 ") + target;
    }
    node.run_until([&] {
        caller.try_read_all();
        return http::response_list(caller.received()) == responses;
    });
    EXPECT_EQ(http::response_list(caller.received()), responses);
}

INSTANTIATE_TEST_SUITE_P(table, requests_ahead,
                         testing::Values(ahead_case{"together", {"/a", "/b", "/c"}, {"/a /b /c "}},
                                         ahead_case{"once_at_its_turn",
                                                    {"/a", "/once1", "/b"},
                                                    {"/a ", "/once1 ", "/b "}},
                                         ahead_case{"those_after_once_together",
                                                    {"/once1", "/a", "/b", "/once2"},
                                                    {"/once1 ", "/a /b ", "/once2 "}}),
                         [](const auto& tested) { return tested.param.name; });

// Guards against a backend server that uses its context to reach a gatekeeper without its node.
TEST(traffic_frontend, context_of_a_backend_server_is_refused_between_nodes)
{
    std::string context;
    frontend_fixture node([&](const std::shared_ptr<http::exchange>& request) {
        context = *request->head().headers.find("Damaskladder-Context");
        request->on_body([raw = request.get()] { raw->consume_body(raw->body().size()); });
        request->respond({}, "ok");
    });
    EXPECT_EQ(node.call(node.frontend().callers_port(), request_for("/a", with_key)).head.status,
              200);
    const auto got = node.call(
        node.frontend().peers_port(),
        request_for("/a", {{"Damaskladder-Context", context}, {"Damaskladder-Service", "files"}}));
    EXPECT_EQ(got.head.status, 403);
}

// Guards against pressure that does not pass between nodes, that is sent without the setting, or
// that reaches callers.
TEST(tree_pressure, passes_between_nodes_and_not_to_callers)
{
    for (const bool enabled : {false, true}) {
        frontend_fixture node([](const auto& request) { request->respond({}, "done"); }, enabled);
        const auto answer = node.call(node.frontend().callers_port(),
                                      request_for("/files", {{"Damaskladder-Key", key}}));
        EXPECT_EQ(answer.field("Damaskladder-Pressure"), "");
        const auto highest = node.machine().highest_pressures(2, http::event_loop::now());
        ASSERT_EQ(highest.size(), enabled ? 1 : 0);
        EXPECT_EQ(enabled, !highest.empty() && highest.front().pressure.value() > 0);
    }
}

} // namespace
} // namespace damaskladder::daemon
