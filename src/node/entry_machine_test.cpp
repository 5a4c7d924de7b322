#include "node/traffic_fixture.hpp"

#include <gtest/gtest.h>

namespace damaskladder::node {
namespace {

constexpr exchange_id e1(1);
constexpr exchange_id e2(2);
constexpr transfer_id t1(1);
constexpr transfer_id t2(2);
constexpr token_grant_id g7(7);

request_arrived request_of(exchange_id exchange, const char* path, const char* key = "k",
                           const char* id = nullptr, const char* content = "c")
{
    request_arrived request;
    request.exchange = exchange;
    request.path = path;
    if (key != nullptr) {
        request.key = traffic_fixture::hash_of(*key);
    }
    if (id != nullptr) {
        request.request = base::request_id(id);
        request.content = base::content_hash(content);
    }
    request.body_can_be_resent = true;
    return request;
}

gatekeeper_refused refused_with(transfer_id transfer, outcome reported_outcome,
                                refusal_reason reason, int left = 2)
{
    return {transfer, reported_outcome, reason, base::retry_count(left), std::nullopt};
}

response_started started(transfer_id transfer)
{
    return {transfer, response_class::served, base::retry_count(2), std::nullopt};
}

std::shared_ptr<const kept_answer> small_response()
{
    return std::make_shared<kept_answer>(kept_answer{status_code(200), "", "yes"});
}

struct session_case {
    const char* name;
    std::vector<timed_event> events;
    /// Concatenated effects of all events.
    const char* effects;
};

void PrintTo(const session_case& row, std::ostream* out)
{
    *out << row.name;
}

class entry_sessions : public testing::TestWithParam<session_case> {};

// Interrupts a request at each phase. Guards against a false "not run", a rate token that is lost
// or returned twice, a second run of a request that may have run, and an exchange that never ends.
TEST_P(entry_sessions, have_effects)
{
    traffic_fixture fixture;
    std::string effects;
    for (const auto& next : GetParam().events) {
        effects += fixture.handle(next.input, next.ms);
    }
    EXPECT_EQ(effects, GetParam().effects);
    EXPECT_EQ(fixture.machine.running(), 0U);
    EXPECT_EQ(fixture.machine.next_deadline(), std::nullopt);
}

const request_arrived keyed = request_of(e1, "/keyed");
const request_arrived once = request_of(e1, "/once", "k", "1-r");
const token_granted granted{e1, g7};

/// The node ends at 500 ms, before the deadline of a request that arrives at 100 ms.
const stop_scheduled ends_soon{base::time_point(std::chrono::milliseconds(500))};

request_arrived with_timeout(request_arrived request, base::duration timeout)
{
    request.constraints.timeout = timeout;
    return request;
}

INSTANTIATE_TEST_SUITE_P(
    late_in_a_stop, entry_sessions,
    testing::Values(session_case{"a non-idempotent request that may outlast the node is refused",
                                 {{0, ends_soon}, {100, once}},
                                 "refuse e1 503 not-run stopping\n"},
                    session_case{"an idempotent request that may outlast the node is refused",
                                 {{0, ends_soon}, {100, keyed}},
                                 "refuse e1 503 not-run stopping\n"},
                    session_case{"a request whose deadline comes before the end is served",
                                 {{0, ends_soon},
                                  {100, with_timeout(keyed, std::chrono::milliseconds(400))},
                                  {100, granted},
                                  {101, transfer_connected{t1}},
                                  {450, started(t1)},
                                  {451, response_finished{t1, nullptr}}},
                                 "ask-tokens e1\nforward t1 e1\nrelay e1 t1\n"},
                    session_case{"a request that arrived before is served as usual",
                                 {{0, keyed},
                                  {0, granted},
                                  {1, ends_soon},
                                  {2, transfer_connected{t1}},
                                  {600, started(t1)},
                                  {601, response_finished{t1, nullptr}}},
                                 "ask-tokens e1\nforward t1 e1\nrelay e1 t1\n"}));

request_arrived behind(request_arrived request, exchange_id exchange,
                       std::vector<exchange_id> ahead, base::duration waited = {})
{
    request.exchange = exchange;
    request.ahead = std::move(ahead);
    request.waited = waited;
    return request;
}

const request_arrived open_request = request_of(e1, "/open", nullptr);
constexpr exchange_id e3(3);

INSTANTIATE_TEST_SUITE_P(
    behind_others, entry_sessions,
    testing::Values(session_case{"requests that may run twice start at once",
                                 {{0, open_request},
                                  {0, behind(open_request, e2, {e1})},
                                  {1, caller_disconnected{e1}},
                                  {1, turn_reached{e2, {}}},
                                  {2, caller_disconnected{e2}}},
                                 "forward t1 e1\nforward t2 e2\ncancel t1\ncancel t2\n"},
                    session_case{"one that must not run twice starts at its turn",
                                 {{0, open_request},
                                  {0, behind(once, e2, {e1})},
                                  {1, started(t1)},
                                  {2, response_finished{t1, nullptr}},
                                  {3, turn_reached{e2, {}}},
                                  {4, token_refused{e2, std::chrono::seconds(1)}}},
                                 "forward t1 e1\nrelay e1 t1\nask-tokens e2\n"
                                 "refuse e2 429 not-run rate\n"},
                    session_case{"one that waits is never run when the connection closes",
                                 {{0, open_request},
                                  {0, behind(once, e2, {e1})},
                                  {1, caller_disconnected{e2}},
                                  {1, caller_disconnected{e1}},
                                  {1, turn_reached{e2, {}}}},
                                 "forward t1 e1\ncancel t1\n"},
                    session_case{"those behind one that must not run twice start together after it",
                                 {{0, once},
                                  {0, behind(open_request, e2, {e1})},
                                  {0, behind(open_request, e3, {e1, e2})},
                                  {1, token_refused{e1, std::chrono::seconds(1)}},
                                  {2, turn_reached{e2, {e3}}},
                                  {3, caller_disconnected{e2}},
                                  {3, caller_disconnected{e3}}},
                                 "ask-tokens e1\nrefuse e1 429 not-run rate\nforward t1 e2\n"
                                 "forward t2 e3\ncancel t1\ncancel t2\n"},
                    session_case{"one that waits is refused at once if its path is unknown",
                                 {{0, open_request},
                                  {0, behind(request_of(e2, "/none"), e2, {e1})},
                                  {1, caller_disconnected{e1}}},
                                 "forward t1 e1\nrefuse e2 404 not-run no-route\ncancel t1\n"},
                    session_case{"the deadline includes the wait for the turn",
                                 {{0, open_request},
                                  {0, behind(once, e2, {e1})},
                                  {900, started(t1)},
                                  {1'000, tick{}},
                                  {1'001, turn_reached{e2, {}}},
                                  {1'002, response_finished{t1, nullptr}}},
                                 "forward t1 e1\nrelay e1 t1\nrefuse e2 504 not-run deadline\n"},
                    session_case{"the deadline includes the wait before the request was read",
                                 {{0, behind(open_request, e1, {}, std::chrono::milliseconds(600))},
                                  {399, tick{}},
                                  {400, tick{}}},
                                 "forward t1 e1\ncancel t1\nrefuse e1 504 not-run deadline\n"},
                    session_case{
                        "a repeat on another connection does not wait for one that waits",
                        {{0, open_request},
                         {0, behind(once, e2, {e1})},
                         {0, behind(once, e3, {})},
                         {1, token_refused{e3, std::chrono::seconds(1)}},
                         {2, caller_disconnected{e1}},
                         {2, caller_disconnected{e2}}},
                        "forward t1 e1\nask-tokens e3\nrefuse e3 429 not-run rate\ncancel t1\n"}));

INSTANTIATE_TEST_SUITE_P(
    long_answers, entry_sessions,
    testing::Values(session_case{"an answer without end is cut after 5 minutes",
                                 {{0, request_of(e1, "/open", nullptr)},
                                  {0, started(t1)},
                                  {299'999, tick{}},
                                  {300'000, tick{}}},
                                 "forward t1 e1\nrelay e1 t1\ncut e1\ncancel t1\n"},
                    session_case{"a large answer lasts longer, whatever the time-out of its route",
                                 {{0, request_of(e1, "/large", nullptr)},
                                  {900, started(t1)},
                                  {3'000'000, tick{}},
                                  {3'000'001, response_finished{t1, nullptr}}},
                                 "forward t1 e1\nrelay e1 t1\n"},
                    session_case{"the head of a large answer is due within the time-out",
                                 {{0, request_of(e1, "/large", nullptr)}, {1'000, tick{}}},
                                 "forward t1 e1\ncancel t1\nrefuse e1 504 not-run deadline\n"}));

INSTANTIATE_TEST_SUITE_P(
    ends, entry_sessions,
    testing::Values(
        session_case{"answered",
                     {{0, keyed},
                      {0, granted},
                      {0, transfer_connected{t1}},
                      {5, started(t1)},
                      {6, response_finished{t1, nullptr}}},
                     "ask-tokens e1\nforward t1 e1\nrelay e1 t1\n"},
        session_case{"open route needs no token",
                     {{0, request_of(e1, "/open", nullptr)},
                      {5, started(t1)},
                      {6, response_finished{t1, nullptr}}},
                     "forward t1 e1\nrelay e1 t1\n"},
        session_case{"above the rate",
                     {{0, keyed}, {5, token_refused{e1, std::chrono::milliseconds(100)}}},
                     "ask-tokens e1\nrefuse e1 429 not-run rate\n"},
        session_case{"token granted after the deadline",
                     {{0, keyed}, {1'000, tick{}}, {1'001, granted}},
                     "ask-tokens e1\nrefuse e1 504 not-run deadline\ntoken-back 7\n"},
        session_case{"caller disconnects before the token",
                     {{0, keyed}, {5, caller_disconnected{e1}}, {6, granted}},
                     "ask-tokens e1\ntoken-back 7\n"},
        session_case{"caller disconnects before the connection",
                     {{0, keyed}, {0, granted}, {5, caller_disconnected{e1}}},
                     "ask-tokens e1\nforward t1 e1\ncancel t1\ntoken-back 7\n"},
        session_case{
            "caller disconnects after the connection",
            {{0, keyed}, {0, granted}, {1, transfer_connected{t1}}, {5, caller_disconnected{e1}}},
            "ask-tokens e1\nforward t1 e1\ncancel t1\n"},
        session_case{"caller disconnects during the response",
                     {{0, keyed},
                      {0, granted},
                      {1, transfer_connected{t1}},
                      {2, started(t1)},
                      {5, caller_disconnected{e1}}},
                     "ask-tokens e1\nforward t1 e1\nrelay e1 t1\ncancel t1\n"},
        session_case{"deadline before the connection",
                     {{0, keyed}, {0, granted}, {1'000, tick{}}},
                     "ask-tokens e1\nforward t1 e1\ncancel t1\ntoken-back 7\n"
                     "refuse e1 504 not-run deadline\n"},
        session_case{"deadline before the response",
                     {{0, keyed}, {0, granted}, {1, transfer_connected{t1}}, {1'000, tick{}}},
                     "ask-tokens e1\nforward t1 e1\ncancel t1\nrefuse e1 504 unknown deadline\n"},
        session_case{"response is interrupted",
                     {{0, keyed},
                      {0, granted},
                      {1, transfer_connected{t1}},
                      {2, started(t1)},
                      {3, transfer_failed{t1}}},
                     "ask-tokens e1\nforward t1 e1\nrelay e1 t1\ncut e1\n"},
        session_case{"events of ended transfers are ignored",
                     {{0, keyed},
                      {0, granted},
                      {5, caller_disconnected{e1}},
                      {6, started(t1)},
                      {7, transfer_failed{t1}},
                      {8, response_finished{t1, nullptr}}},
                     "ask-tokens e1\nforward t1 e1\ncancel t1\ntoken-back 7\n"}));

INSTANTIATE_TEST_SUITE_P(
    retries, entry_sessions,
    testing::Values(
        session_case{"draining, immediate retry elsewhere",
                     {{0, keyed},
                      {0, granted},
                      {1, refused_with(t1, outcome::not_run, refusal_reason::draining)},
                      {2, started(t2)},
                      {3, response_finished{t2, nullptr}}},
                     "ask-tokens e1\nforward t1 e1\nforward t2 e1\nrelay e1 t2\n"},
        session_case{"evacuated, immediate retry elsewhere",
                     {{0, keyed},
                      {0, granted},
                      {1, refused_with(t1, outcome::not_run, refusal_reason::evacuated)},
                      {2, started(t2)},
                      {3, response_finished{t2, nullptr}}},
                     "ask-tokens e1\nforward t1 e1\nforward t2 e1\nrelay e1 t2\n"},
        session_case{"unreachable, immediate retry elsewhere, once only",
                     {{0, once},
                      {0, granted},
                      {1, connect_failed{t1}},
                      {2, started(t2)},
                      {3, response_finished{t2, nullptr}}},
                     "ask-tokens e1\nforward t1 e1\nforward t2 e1\nrelay e1 t2 keep\n"},
        session_case{"shed by a gatekeeper, immediate retry elsewhere",
                     {{0, keyed},
                      {0, granted},
                      {1, refused_with(t1, outcome::not_run, refusal_reason::shed)},
                      {2, started(t2)},
                      {3, response_finished{t2, nullptr}}},
                     "ask-tokens e1\nforward t1 e1\nforward t2 e1\nrelay e1 t2\n"},
        session_case{"shed by a backend server, retry after a pause",
                     {{0, keyed},
                      {0, granted},
                      {1, refused_with(t1, outcome::not_run, refusal_reason::backend_shed)},
                      {30, tick{}},
                      {31, started(t2)},
                      {32, response_finished{t2, nullptr}}},
                     "ask-tokens e1\nforward t1 e1\nforward t2 e1\nrelay e1 t2\n"},
        session_case{"idempotent request is retried",
                     {{0, keyed},
                      {0, granted},
                      {1, transfer_failed{t1}},
                      {30, tick{}},
                      {31, refused_with(t2, outcome::not_run, refusal_reason::shed, 0)}},
                     "ask-tokens e1\nforward t1 e1\nforward t2 e1\nrefuse e1 503 unknown shed\n"},
        session_case{"non-idempotent request is not retried",
                     {{0, once}, {0, granted}, {1, transfer_failed{t1}}},
                     "ask-tokens e1\nforward t1 e1\nrefuse e1 502 unknown answer-lost\n"},
        session_case{"non-idempotent, outcome unknown to the gatekeeper",
                     {{0, once},
                      {0, granted},
                      {1, refused_with(t1, outcome::unknown, refusal_reason::backend_failed)}},
                     "ask-tokens e1\nforward t1 e1\nrefuse e1 502 unknown backend-failed\n"},
        session_case{"no retry after a held claim",
                     {{0, once},
                      {0, granted},
                      {1, refused_with(t1, outcome::unknown, refusal_reason::claim_held)}},
                     "ask-tokens e1\nforward t1 e1\nrefuse e1 409 unknown claim-held\n"},
        session_case{"no retry after a withdrawn key",
                     {{0, keyed},
                      {0, granted},
                      {1, refused_with(t1, outcome::not_run, refusal_reason::key_withdrawn)}},
                     "ask-tokens e1\nforward t1 e1\ntoken-back 7\n"
                     "refuse e1 403 not-run key-withdrawn\n"},
        session_case{"caller disconnects before the retry",
                     {{0, keyed},
                      {0, granted},
                      {1, refused_with(t1, outcome::not_run, refusal_reason::backend_shed)},
                      {1, caller_disconnected{e1}}},
                     "ask-tokens e1\nforward t1 e1\ntoken-back 7\n"}));

INSTANTIATE_TEST_SUITE_P(
    repeats, entry_sessions,
    testing::Values(session_case{"joins the running request",
                                 {{0, once},
                                  {0, granted},
                                  {1, request_of(e2, "/once", "k", "1-r")},
                                  {2, started(t1)},
                                  {3, response_finished{t1, small_response()}}},
                                 "ask-tokens e1\nforward t1 e1\nrelay e1 t1 keep\nreplay e2\n"},
                    session_case{"gets the kept response",
                                 {{0, once},
                                  {0, granted},
                                  {2, started(t1)},
                                  {3, response_finished{t1, small_response()}},
                                  {4, request_of(e2, "/once", "k", "1-r")}},
                                 "ask-tokens e1\nforward t1 e1\nrelay e1 t1 keep\nreplay e2\n"},
                    session_case{"response too large to keep",
                                 {{0, once},
                                  {0, granted},
                                  {1, request_of(e2, "/once", "k", "1-r")},
                                  {2, started(t1)},
                                  {3, response_finished{t1, nullptr}}},
                                 "ask-tokens e1\nforward t1 e1\nrelay e1 t1 keep\n"
                                 "refuse e2 409 unknown already-answered\n"},
                    session_case{
                        "other content",
                        {{0, once},
                         {0, granted},
                         {1, request_of(e2, "/once", "k", "1-r", "d")},
                         {2, started(t1)},
                         {3, response_finished{t1, small_response()}}},
                        "ask-tokens e1\nforward t1 e1\nrefuse e2 409 not-run other-content\n"
                        "relay e1 t1 keep\n"},
                    session_case{"takes over when the first caller disconnects",
                                 {{0, once},
                                  {0, granted},
                                  {1, request_of(e2, "/once", "k", "1-r")},
                                  {2, caller_disconnected{e1}},
                                  {3, started(t1)},
                                  {4, response_finished{t1, small_response()}}},
                                 "ask-tokens e1\nforward t1 e1\nrelay e2 t1 keep\n"},
                    session_case{"takes over before the token",
                                 {{0, once},
                                  {1, request_of(e2, "/once", "k", "1-r")},
                                  {2, caller_disconnected{e1}},
                                  {3, granted},
                                  {4, token_granted{e2, token_grant_id(8)}},
                                  {5, started(t1)},
                                  {6, response_finished{t1, small_response()}}},
                                 "ask-tokens e1\nask-tokens e2\ntoken-back 7\nforward t1 e2\n"
                                 "relay e2 t1 keep\n"},
                    session_case{"shares the refusal",
                                 {{0, once},
                                  {0, granted},
                                  {1, request_of(e2, "/once", "k", "1-r")},
                                  {2, transfer_failed{t1}}},
                                 "ask-tokens e1\nforward t1 e1\nrefuse e1 502 unknown answer-lost\n"
                                 "refuse e2 502 unknown answer-lost\n"},
                    session_case{"waits no longer than its own deadline",
                                 {{0, once},
                                  {0, granted},
                                  {1, request_of(e2, "/once", "k", "1-r")},
                                  {2, started(t1)},
                                  {1'001, tick{}},
                                  {1'100, response_finished{t1, small_response()}}},
                                 "ask-tokens e1\nforward t1 e1\nrelay e1 t1 keep\n"
                                 "refuse e2 504 unknown deadline\n"}));

struct check_case {
    const char* name;
    std::function<void(traffic_fixture&, request_arrived&)> change;
    const char* effects;
};

void PrintTo(const check_case& row, std::ostream* out)
{
    *out << row.name;
}

class entry_checks : public testing::TestWithParam<check_case> {};

// Guards against requests that run without the key of an admitted workspace, or non-idempotent
// requests that run without a request id, by which a repeat is recognised.
TEST_P(entry_checks, refuse_before_anything_runs)
{
    traffic_fixture fixture;
    request_arrived request = keyed;
    GetParam().change(fixture, request);
    EXPECT_EQ(fixture.handle(request, 0), GetParam().effects);
}

INSTANTIATE_TEST_SUITE_P(
    table, entry_checks,
    testing::Values(
        check_case{"no route", [](auto&, auto& r) { r.path = "/none"; },
                   "refuse e1 404 not-run no-route\n"},
        check_case{"long path", [](auto&, auto& r) { r.path.assign(8'193, 'a'); },
                   "refuse e1 400 not-run bad-request\n"},
        check_case{"no key", [](auto&, auto& r) { r.key.reset(); },
                   "refuse e1 401 not-run key-required\n"},
        check_case{"unknown key", [](auto&, auto& r) { r.key = traffic_fixture::hash_of('x'); },
                   "refuse e1 401 not-run unknown-key\n"},
        check_case{"key of another workspace",
                   [](auto&, auto& r) { r.key = traffic_fixture::hash_of('o'); },
                   "refuse e1 403 not-run key-not-allowed\n"},
        check_case{"withdrawn key", [](auto& f, auto&) { f.key.active = false; },
                   "refuse e1 403 not-run key-withdrawn\n"},
        check_case{
            "stale settings",
            [](auto& f, auto&) { f.view.settings_confirmed_at = traffic_fixture::at_ms(-10'001); },
            "refuse e1 503 not-run stale-settings\n"},
        check_case{
            "settings of the maximum age",
            [](auto& f, auto&) { f.view.settings_confirmed_at = traffic_fixture::at_ms(-10'000); },
            "ask-tokens e1\n"},
        check_case{"open route on stale settings",
                   [](auto& f, auto& r) {
                       f.view.settings_confirmed_at = traffic_fixture::at_ms(-90'000);
                       r.path = "/open";
                   },
                   "forward t1 e1\n"},
        check_case{"non-idempotent without id", [](auto&, auto& r) { r.path = "/once"; },
                   "refuse e1 400 not-run request-id-required\n"},
        check_case{"marked non-idempotent without id",
                   [](auto&, auto& r) { r.constraints.non_idempotent = true; },
                   "refuse e1 400 not-run request-id-required\n"},
        check_case{"id without content hash",
                   [](auto&, auto& r) { r.request = base::request_id("1-r"); },
                   "refuse e1 400 not-run bad-request\n"},
        check_case{"body too large",
                   [](auto&, auto& r) { r.body_size = base::byte_count((1 << 20) + 1); },
                   "refuse e1 413 not-run too-large\n"},
        check_case{"served while the node stops",
                   [](auto& f, auto&) { f.handle(stop_requested{}, 0); }, "ask-tokens e1\n"},
        check_case{"nothing announced",
                   [](auto& f, auto& r) {
                       f.view.services.clear();
                       r.path = "/open";
                   },
                   "refuse e1 503 not-run no-backend-server\n"}));

struct wish_case {
    const char* name;
    request_constraints constraints;
    base::importance importance;
    std::int64_t budget_ms;
};

void PrintTo(const wish_case& row, std::ostream* out)
{
    *out << row.name;
}

class constraints : public testing::TestWithParam<wish_case> {};

// Guards against callers that raise their importance or extend their time budget.
TEST_P(constraints, only_tighten)
{
    const auto& row = GetParam();
    traffic_fixture fixture;
    request_arrived request = request_of(e1, "/open", nullptr);
    request.constraints = row.constraints;
    fixture.handle(request, 0);
    EXPECT_EQ(fixture.last_forward.context.importance, row.importance);
    EXPECT_EQ(fixture.last_forward.context.budget, std::chrono::milliseconds(row.budget_ms));
    EXPECT_EQ(fixture.last_forward.context.allowance, base::retry_count(2));
}

INSTANTIATE_TEST_SUITE_P(
    table, constraints,
    testing::Values(
        wish_case{"none", {}, base::importance::normal, 995},
        wish_case{"lower", {base::importance::low, {}, false}, base::importance::low, 995},
        wish_case{"higher", {base::importance::critical, {}, false}, base::importance::normal, 995},
        wish_case{
            "shorter", {{}, std::chrono::milliseconds(100), false}, base::importance::normal, 95},
        wish_case{"longer", {{}, std::chrono::hours(1), false}, base::importance::normal, 995}));

/// A node whose backend server runs one call (exchange 1) of workspace w at importance low.
struct parent_fixture : traffic_fixture {
    parent_fixture()
    {
        call.exchange = e1;
        call.service = base::service_id("s");
        call.context.workspace = base::workspace_id("w");
        call.context.key = base::key_id("k");
        call.context.call = base::call_id(500);
        call.context.depth = base::call_depth(3);
        call.context.importance = base::importance::low;
        call.context.budget = std::chrono::milliseconds(400);
        call.context.allowance = base::retry_count(3);
        handle(call, 0);
        handle(transfer_connected{t1}, 0);
        onward.exchange = e2;
        onward.path = "/keyed";
        onward.parent = call.context;
        onward.body_can_be_resent = true;
    }

    /// Replaces the parent call by one that was admitted by settings newer than those of this node.
    void call_from_newer_settings()
    {
        call.exchange = exchange_id(77);
        call.context.call = base::call_id(501);
        call.context.settings = base::settings_version(view.settings_version.value() + 1);
        view.local.front().slots = base::slot_count(2);
        handle(call, 1);
        onward.parent = call.context;
    }

    call_arrived call;
    onward_call_arrived onward;
};

struct onward_case {
    const char* name;
    std::function<void(parent_fixture&)> change;
    const char* effects;
};

void PrintTo(const onward_case& row, std::ostream* out)
{
    *out << row.name;
}

class onward_calls : public testing::TestWithParam<onward_case> {};

// Guards against onward calls without a running parent, past the depth limit, or for a workspace
// that the route does not admit.
TEST_P(onward_calls, are_checked)
{
    parent_fixture fixture;
    GetParam().change(fixture);
    EXPECT_EQ(fixture.handle(fixture.onward, 100), GetParam().effects);
}

INSTANTIATE_TEST_SUITE_P(
    table, onward_calls,
    testing::Values(
        onward_case{"runs without a token", [](auto&) {}, "forward t2 e2\n"},
        onward_case{"runs while the node stops", [](auto& f) { f.handle(stop_requested{}, 0); },
                    "forward t2 e2\n"},
        onward_case{"parent unknown", [](auto& f) { f.onward.parent.call = base::call_id(9); },
                    "refuse e2 403 not-run parent-not-running\n"},
        onward_case{"parent ended",
                    [](auto& f) {
                        f.handle(response_started{t1, response_class::served, {}, {}}, 1);
                        f.handle(response_finished{t1, nullptr}, 2);
                    },
                    "refuse e2 403 not-run parent-not-running\n"},
        onward_case{"no time left",
                    [](auto& f) { f.onward.constraints.timeout = std::chrono::milliseconds(1); },
                    "refuse e2 504 not-run deadline\n"},
        // Guards against refusing for good what the settings of the parent call's entry node allow,
        // when they have not arrived here: routes and keys that were just added got 403 and 404.
        onward_case{"route of a version that has not arrived here",
                    [](auto& f) {
                        f.onward.path = "/new";
                        f.call_from_newer_settings();
                    },
                    "refuse e2 503 not-run stale-settings\n"},
        onward_case{"workspace admitted in a version that has not arrived here",
                    [](auto& f) {
                        f.keyed.workspaces = {base::workspace_id("other")};
                        f.call_from_newer_settings();
                    },
                    "refuse e2 503 not-run stale-settings\n"},
        onward_case{"key withdrawn after the parent call started",
                    [](auto& f) { f.key.active = false; }, "refuse e2 403 not-run key-withdrawn\n"},
        onward_case{"other workspace",
                    [](auto& f) { f.keyed.workspaces = {base::workspace_id("v")}; },
                    "refuse e2 403 not-run key-not-allowed\n"},
        onward_case{"non-idempotent without id", [](auto& f) { f.onward.path = "/once"; },
                    "refuse e2 400 not-run request-id-required\n"},
        onward_case{"no route", [](auto& f) { f.onward.path = "/none"; },
                    "refuse e2 404 not-run no-route\n"}));

// Guards against an onward call with a higher importance, a larger time budget or more extra
// attempts than its parent call.
TEST(onward_call, inherits_within_the_parents_bounds)
{
    parent_fixture fixture;
    fixture.onward.constraints.importance = base::importance::critical;
    fixture.handle(fixture.onward, 100);
    const call_context& context = fixture.last_forward.context;
    EXPECT_EQ(context.importance, base::importance::low);
    EXPECT_EQ(context.depth, base::call_depth(4));
    EXPECT_EQ(context.workspace, base::workspace_id("w"));
    EXPECT_EQ(context.settings, fixture.view.settings_version);
    // 400 ms minus 100 ms elapsed, minus the return margin of 5 ms for each of the two hops.
    EXPECT_EQ(context.budget, std::chrono::milliseconds(290));
    // The parent call lends 2 of its 3 extra attempts, and the onward call keeps 1 of these back.
    EXPECT_EQ(context.allowance, base::retry_count(1));
}

// Guards against unused extra attempts that are lost or counted twice when they are returned.
TEST(onward_call, unused_allowance_returns_to_the_parent)
{
    parent_fixture fixture;
    fixture.handle(fixture.onward, 100);
    fixture.handle(response_started{t2, response_class::served, base::retry_count(1), {}}, 110);
    fixture.handle(response_finished{t2, nullptr}, 111);
    EXPECT_EQ(fixture.handle(response_started{t1, response_class::served, {}, {}}, 120),
              "relay e1 t1 left 3\n");
}

// Guards against continued work for a request whose original caller has disconnected.
TEST(onward_call, is_cancelled_with_its_parent)
{
    parent_fixture fixture;
    fixture.handle(fixture.onward, 100);
    fixture.handle(transfer_connected{t2}, 101);
    EXPECT_EQ(fixture.handle(caller_disconnected{e1}, 110),
              "cancel t1\ncancel t2\nrefuse e2 504 unknown caller-gone\n");
    EXPECT_EQ(fixture.machine.running(), 0U);
}

} // namespace
} // namespace damaskladder::node
