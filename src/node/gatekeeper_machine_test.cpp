#include "node/traffic_fixture.hpp"

#include <gtest/gtest.h>

#include <array>
#include <utility>

namespace damaskladder::node {
namespace {

constexpr exchange_id e1(1);
constexpr exchange_id e2(2);
constexpr transfer_id t1(1);

call_arrived call_of(exchange_id exchange, bool idempotent)
{
    call_arrived call;
    call.exchange = exchange;
    call.service = base::service_id("s");
    call.context.workspace = base::workspace_id("w");
    call.context.key = base::key_id("k");
    call.context.request = base::request_id("1-r");
    call.context.call = base::call_id(100 + exchange.value());
    call.context.budget = std::chrono::milliseconds(500);
    call.context.allowance = base::retry_count(2);
    call.context.idempotent = idempotent;
    call.content = base::content_hash("c");
    return call;
}

/// The phase in which a call is interrupted.
enum class call_stage { queued, claiming, connecting, sent, responding };

/// The event that interrupts it.
enum class interruption_kind {
    caller_disconnected,
    deadline,
    connect_failed,
    connection_lost,
    drain,
    evacuation,
    held,
    answered_before,
    unavailable,
    granted_late,
};

struct interruption_case {
    const char* name;
    bool idempotent;
    call_stage point;
    interruption_kind kind;
    const char* effects;
};

void PrintTo(const interruption_case& row, std::ostream* out)
{
    *out << row.name;
}

/// Advances a call of exchange 1 to a phase and interrupts it there.
class call_driver {
public:
    explicit call_driver(bool idempotent) : m_idempotent(idempotent) {}

    void advance(call_stage point)
    {
        if (point == call_stage::queued) {
            handle(call_of(e2, true), 0);
            handle(call_of(e1, m_idempotent), 0);
            return;
        }
        handle(call_of(e1, m_idempotent), 0);
        if (!m_idempotent && point != call_stage::claiming) {
            handle(claim_granted{attempt()}, 0);
        }
        if (point == call_stage::sent || point == call_stage::responding) {
            handle(transfer_connected{t1}, 0);
        }
        if (point == call_stage::responding) {
            handle(response_started{t1, response_class::served, {}, {}}, 0);
        }
    }

    std::string interrupt(interruption_kind kind)
    {
        switch (kind) {
        case interruption_kind::caller_disconnected:
            return fixture.handle(caller_disconnected{e1}, 10);
        case interruption_kind::deadline:
            return fixture.handle(tick{}, 500);
        case interruption_kind::connect_failed:
            return fixture.handle(connect_failed{t1}, 10);
        case interruption_kind::connection_lost:
            return fixture.handle(transfer_failed{t1}, 10);
        case interruption_kind::drain:
            return fixture.handle(drain_requested{base::service_id("s")}, 10);
        case interruption_kind::evacuation:
            fixture.view.local.front().evacuated = true;
            return fixture.handle(tick{}, 10);
        case interruption_kind::held:
            return fixture.handle(claim_denied{attempt(), claim_denial::held}, 10);
        case interruption_kind::answered_before:
            return fixture.handle(claim_denied{attempt(), claim_denial::already_answered}, 10);
        case interruption_kind::unavailable:
            return fixture.handle(claim_denied{attempt(), claim_denial::unavailable}, 10);
        case interruption_kind::granted_late:
            return fixture.handle(claim_granted{attempt()}, 500);
        }
        return {};
    }

    void handle(const event& input, std::int64_t ms)
    {
        std::vector<effect> out;
        fixture.machine.handle(input, fixture.view, traffic_fixture::at_ms(ms), out);
        for (const auto& wanted : out) {
            if (const auto* claim = std::get_if<request_claim>(&wanted)) {
                m_attempt = claim->attempt;
            }
        }
    }

    base::attempt_id attempt() const { return m_attempt; }

    traffic_fixture fixture;

private:
    bool m_idempotent;
    base::attempt_id m_attempt;
};

class gatekeeper_interruptions : public testing::TestWithParam<interruption_case> {};

// Interrupts a call while it is queued, claiming, connecting, sent and responding. Guards against a
// false "not run", a claim that is released although the call may have run or kept although it did
// not, and a slot that is never freed.
TEST_P(gatekeeper_interruptions, report_true_outcome_and_release_resources)
{
    const auto& row = GetParam();
    call_driver path(row.idempotent);
    path.advance(row.point);
    EXPECT_EQ(path.interrupt(row.kind), row.effects);
    if (row.kind == interruption_kind::drain || row.kind == interruption_kind::evacuation) {
        return;
    }
    const auto* control = path.fixture.machine.control_of(base::service_id("s"));
    const bool queued = row.point == call_stage::queued;
    EXPECT_EQ(control->running(),
              base::slot_count(queued && row.kind == interruption_kind::caller_disconnected));
    EXPECT_EQ(control->queued(), 0);
}

INSTANTIATE_TEST_SUITE_P(
    table, gatekeeper_interruptions,
    testing::Values(
        interruption_case{"queued, caller disconnected", true, call_stage::queued,
                          interruption_kind::caller_disconnected, ""},
        interruption_case{"queued, drain", true, call_stage::queued, interruption_kind::drain,
                          "refuse e1 503 not-run draining left 2\n"},
        interruption_case{"queued, evacuation", true, call_stage::queued,
                          interruption_kind::evacuation,
                          "refuse e1 503 not-run evacuated left 2\n"},
        interruption_case{"sent, evacuation", true, call_stage::sent, interruption_kind::evacuation,
                          ""},
        interruption_case{"claiming, caller disconnected", false, call_stage::claiming,
                          interruption_kind::caller_disconnected, "release-claim\n"},
        interruption_case{"claiming, deadline", false, call_stage::claiming,
                          interruption_kind::deadline,
                          "refuse e1 504 not-run deadline left 2\nrelease-claim\n"},
        interruption_case{"claiming, granted after the deadline", false, call_stage::claiming,
                          interruption_kind::granted_late,
                          "refuse e1 504 not-run deadline left 2\nrelease-claim\n"},
        interruption_case{"claiming, held by another attempt", false, call_stage::claiming,
                          interruption_kind::held, "refuse e1 409 unknown claim-held left 2\n"},
        interruption_case{"claiming, already answered", false, call_stage::claiming,
                          interruption_kind::answered_before,
                          "refuse e1 409 unknown already-answered left 2\n"},
        interruption_case{"claiming, no majority of control replicas", false, call_stage::claiming,
                          interruption_kind::unavailable,
                          "refuse e1 503 not-run claim-unavailable left 2\nrelease-claim\n"},
        interruption_case{"connecting, failed", false, call_stage::connecting,
                          interruption_kind::connect_failed,
                          "refuse e1 503 not-run unreachable left 2\nrelease-claim\n"},
        interruption_case{"connecting, connection lost", false, call_stage::connecting,
                          interruption_kind::connection_lost,
                          "refuse e1 502 unknown backend-failed left 2\n"},
        interruption_case{"connecting, caller disconnected", false, call_stage::connecting,
                          interruption_kind::caller_disconnected, "cancel t1\nrelease-claim\n"},
        interruption_case{"connecting, deadline", false, call_stage::connecting,
                          interruption_kind::deadline,
                          "cancel t1\nrefuse e1 504 not-run deadline left 2\nrelease-claim\n"},
        interruption_case{"sent, connect_failed reported late", false, call_stage::sent,
                          interruption_kind::connect_failed,
                          "refuse e1 502 unknown backend-failed left 2\n"},
        interruption_case{"sent, connection lost", false, call_stage::sent,
                          interruption_kind::connection_lost,
                          "refuse e1 502 unknown backend-failed left 2\n"},
        interruption_case{"sent, caller disconnected", false, call_stage::sent,
                          interruption_kind::caller_disconnected, "cancel t1\n"},
        interruption_case{"sent, deadline", false, call_stage::sent, interruption_kind::deadline,
                          "cancel t1\nrefuse e1 504 unknown deadline left 2\n"},
        interruption_case{"sent, deadline, idempotent", true, call_stage::sent,
                          interruption_kind::deadline,
                          "cancel t1\nrefuse e1 504 unknown deadline left 2\n"},
        interruption_case{"sent, not affected by drain", true, call_stage::sent,
                          interruption_kind::drain, ""},
        interruption_case{"responding, connection lost", false, call_stage::responding,
                          interruption_kind::connection_lost, "cut e1\n"},
        interruption_case{"responding, caller disconnected", false, call_stage::responding,
                          interruption_kind::caller_disconnected, "cancel t1\n"},
        interruption_case{"responding, connect_failed reported late", false, call_stage::responding,
                          interruption_kind::connect_failed, "cut e1\n"}));

// Guards against a claim that is not completed although the call was, and against a response that
// does not return the unused extra attempts.
TEST(gatekeeper, completes_the_claim_with_the_answer)
{
    call_driver path(false);
    path.advance(call_stage::sent);
    EXPECT_EQ(path.fixture.handle(response_started{t1, response_class::served, {}, {}}, 5),
              "relay e1 t1 left 2\n");
    EXPECT_EQ(path.fixture.handle(tick{}, 600), "");
    EXPECT_EQ(path.fixture.handle(response_finished{t1, nullptr}, 700), "complete-claim\n");
    EXPECT_EQ(path.fixture.machine.running(), 0U);
}

// Guards against a non-idempotent call on a reused connection: an HTTP library might resend the
// call there, or the call might need another attempt.
TEST(gatekeeper, non_idempotent_calls_get_a_fresh_connection)
{
    call_driver path(false);
    path.advance(call_stage::claiming);
    EXPECT_EQ(path.fixture.handle(claim_granted{path.attempt()}, 5), "start t1 e1 fresh\n");
}

struct arrival_case {
    const char* name;
    std::function<void(call_driver&, call_arrived&)> change;
    const char* effects;
};

void PrintTo(const arrival_case& row, std::ostream* out)
{
    *out << row.name;
}

class arrivals : public testing::TestWithParam<arrival_case> {};

/// Sets the versions of the settings of the node and of the issuer of the call.
void set_versions(call_driver& path, call_arrived& call, std::uint64_t own, std::uint64_t issuer)
{
    path.fixture.view.settings_version = base::settings_version(own);
    call.context.settings = base::settings_version(issuer);
}

// Guards against calls that are accepted with a withdrawn key, with stale settings, at a draining
// backend server or while the node stops.
TEST_P(arrivals, are_checked)
{
    call_driver path(true);
    call_arrived call = call_of(e1, true);
    GetParam().change(path, call);
    EXPECT_EQ(path.fixture.handle(call, 0), GetParam().effects);
}

INSTANTIATE_TEST_SUITE_P(
    table, arrivals,
    testing::Values(
        arrival_case{"runs", [](auto&, auto&) {}, "start t1 e1\n"},
        arrival_case{"withdrawn key", [](auto& path, auto&) { path.fixture.key.active = false; },
                     "refuse e1 403 not-run key-withdrawn left 2\n"},
        // Guards against refusing for good a key that was added after this node's version: callers
        // got 401 for keys that had been in force at their entry node.
        arrival_case{"key of a version that has not arrived here",
                     [](auto& path, auto& call) {
                         path.fixture.key.active = false;
                         set_versions(path, call, 6, 7);
                     },
                     "refuse e1 503 not-run stale-settings left 2\n"},
        arrival_case{"key withdrawn in the issuer's version",
                     [](auto& path, auto& call) {
                         path.fixture.key.active = false;
                         set_versions(path, call, 7, 7);
                     },
                     "refuse e1 403 not-run key-withdrawn left 2\n"},
        arrival_case{"key withdrawn in a version that the issuer lacks",
                     [](auto& path, auto& call) {
                         path.fixture.key.active = false;
                         set_versions(path, call, 8, 7);
                     },
                     "refuse e1 403 not-run key-withdrawn left 2\n"},
        arrival_case{"stale settings",
                     [](auto& path, auto&) {
                         path.fixture.view.settings_confirmed_at = traffic_fixture::at_ms(-10'001);
                     },
                     "refuse e1 503 not-run stale-settings left 2\n"},
        arrival_case{"open call on stale settings",
                     [](auto& path, auto& call) {
                         path.fixture.view.settings_confirmed_at = traffic_fixture::at_ms(-10'001);
                         call.context.workspace = base::workspace_id();
                     },
                     "start t1 e1\n"},
        arrival_case{"no lease", [](auto& path, auto&) { path.fixture.view.local.clear(); },
                     "refuse e1 503 not-run no-backend-server left 2\n"},
        arrival_case{"draining",
                     [](auto& path, auto&) { path.fixture.view.local.front().draining = true; },
                     "refuse e1 503 not-run draining left 2\n"},
        arrival_case{"evacuated",
                     [](auto& path, auto&) { path.fixture.view.local.front().evacuated = true; },
                     "refuse e1 503 not-run evacuated left 2\n"},
        arrival_case{"evacuation ended",
                     [](auto& path, auto&) {
                         path.fixture.view.local.front().evacuated = true;
                         path.handle(tick{}, 0);
                         path.handle(call_of(e2, true), 0);
                         path.fixture.view.local.front().evacuated = false;
                     },
                     "start t1 e1\n"},
        arrival_case{"draining and evacuated",
                     [](auto& path, auto&) {
                         path.fixture.view.local.front().evacuated = true;
                         path.fixture.view.local.front().draining = true;
                     },
                     "refuse e1 503 not-run draining left 2\n"},
        arrival_case{
            "drain requested, view not yet changed",
            [](auto& path, auto&) { path.handle(drain_requested{base::service_id("s")}, 0); },
            "refuse e1 503 not-run draining left 2\n"},
        arrival_case{"stopping", [](auto& path, auto&) { path.handle(stop_requested{}, 0); },
                     "refuse e1 503 not-run stopping left 2\n"},
        arrival_case{"no time left",
                     [](auto&, auto& call) { call.context.budget = base::duration::zero(); },
                     "refuse e1 504 not-run deadline left 2\n"},
        arrival_case{"too deep",
                     [](auto&, auto& call) { call.context.depth = base::call_depth(17); },
                     "refuse e1 400 not-run too-deep left 2\n"},
        arrival_case{"non-idempotent without content hash",
                     [](auto&, auto& call) {
                         call.context.idempotent = false;
                         call.content.reset();
                     },
                     "refuse e1 400 not-run bad-request left 2\n"}));

/// What the backend server says in an answer at 1,000 ms, after it has named 4 requests a second in
/// an answer at 0 ms and got them. The calls that follow at 1,000 ms are counted.
struct reported_case {
    const char* name;
    backend_state_reported reported;
    int started;
    const char* refusal;
};

void PrintTo(const reported_case& row, std::ostream* out)
{
    *out << row.name;
}

class backend_reports : public testing::TestWithParam<reported_case> {};

backend_state_reported reported_rate(std::optional<double> rate)
{
    backend_state_reported state;
    state.service = base::service_id("s");
    if (rate) {
        state.rate = admission::requests_per_second{*rate};
    }
    return state;
}

backend_state_reported unreadable_rate()
{
    auto state = reported_rate(std::nullopt);
    state.rate_valid = false;
    return state;
}

backend_state_reported leaving()
{
    auto state = reported_rate(std::nullopt);
    state.leaving = true;
    return state;
}

backend_state_reported of_an_earlier_run()
{
    auto state = leaving();
    state.instance = base::instance_id("earlier");
    return state;
}

/// Calls of one level that are started at a time, out of 40, and the refusal of the last one.
std::pair<int, std::string> offer_calls(call_driver& path, std::int64_t ms)
{
    int started = 0;
    std::string refusal;
    for (std::uint64_t number = 0; number < 40; ++number) {
        const exchange_id exchange(static_cast<std::uint64_t>(ms) * 1'000 + number + 10);
        auto call = call_of(exchange, true);
        call.context.importance = base::importance::critical;
        call.context.call = base::call_id(exchange.value());
        const auto effects = path.fixture.handle(call, ms);
        const bool starts = effects.substr(0, 5) == "start";
        started += starts ? 1 : 0;
        if (starts) {
            path.fixture.handle(caller_disconnected{exchange}, ms);
        }
        else {
            refusal = effects.substr(effects.find(' ', effects.find(' ') + 1) + 1);
        }
    }
    return {started, refusal};
}

// Guards against a backend server that gets more requests than it has named, or any after it has
// said that it leaves, as its gatekeeper sends what its slots would hold.
TEST_P(backend_reports, decide_how_many_calls_it_gets)
{
    call_driver path(true);
    path.handle(reported_rate(4), 0);
    EXPECT_EQ(offer_calls(path, 0).first, 4);
    path.handle(GetParam().reported, 1'000);
    const auto [started, refusal] = offer_calls(path, 1'000);
    EXPECT_EQ(started, GetParam().started);
    EXPECT_EQ(refusal, GetParam().refusal);
}

INSTANTIATE_TEST_SUITE_P(
    table, backend_reports,
    testing::Values(
        reported_case{"same rate", reported_rate(4), 4, "503 not-run backend-limit left 2\n"},
        reported_case{"higher rate", reported_rate(8), 4, "503 not-run backend-limit left 2\n"},
        reported_case{"lower rate", reported_rate(2), 2, "503 not-run backend-limit left 2\n"},
        reported_case{"rate of zero", reported_rate(0), 1, "503 not-run backend-limit left 2\n"},
        reported_case{"no rate any more", reported_rate(std::nullopt), 40, ""},
        reported_case{"unreadable rate", unreadable_rate(), 4,
                      "503 not-run backend-limit left 2\n"},
        reported_case{"leaving", leaving(), 0, "503 not-run draining left 2\n"},
        reported_case{"answer of an earlier run", of_an_earlier_run(), 4,
                      "503 not-run backend-limit left 2\n"}));

struct cold_case {
    const char* name;
    std::optional<base::request_count> burst;
    std::int64_t cold_until_ms;
    std::int64_t node_started_ms;
    /// Calls started out of 40 at 5,000 ms and at 5,900 ms, and out of 40 more at 6,200 ms.
    std::array<int, 3> started;
};

void PrintTo(const cold_case& row, std::ostream* out)
{
    *out << row.name;
}

class cold_backend_servers : public testing::TestWithParam<cold_case> {};

// Guards against a cold backend server that crashes because its gatekeeper sends it what its slots
// would hold, and against a limit that holds longer than the server is cold or for other services.
TEST_P(cold_backend_servers, get_a_bounded_number_of_calls)
{
    const auto& row = GetParam();
    call_driver path(true);
    path.fixture.view.started_at = traffic_fixture::at_ms(row.node_started_ms);
    auto& server = path.fixture.view.local.front();
    server.cold_burst = row.burst;
    server.cold_until = traffic_fixture::at_ms(row.cold_until_ms);
    server.announced_at = traffic_fixture::at_ms(4'900);
    std::array<int, 3> started{};
    std::size_t round = 0;
    for (const int ms : {5'000, 5'900, 6'200}) {
        const auto [count, refusal] = offer_calls(path, ms);
        started.at(round++) = count;
        EXPECT_EQ(refusal, count == 40 ? "" : "503 not-run backend-limit left 2\n");
    }
    EXPECT_EQ(started, row.started);
}

constexpr base::request_count burst_of_22(22);

INSTANTIATE_TEST_SUITE_P(
    table, cold_backend_servers,
    testing::Values(cold_case{"cold", burst_of_22, 9'000, 1'000, {20, 0, 20}},
                    cold_case{"warm after some time", burst_of_22, 6'000, 1'000, {20, 0, 40}},
                    cold_case{"node just started", burst_of_22, 9'000, 4'000, {0, 20, 0}},
                    cold_case{"warm", burst_of_22, 5'000, 1'000, {40, 40, 40}},
                    cold_case{"no limit", std::nullopt, 9'000, 4'000, {40, 40, 40}}));

struct unknown_case {
    const char* name;
    std::function<void(call_driver&)> act;
    /// Calls started out of 40 at 5,000 ms, and at 7,000 ms after an announcement at 6,900 ms.
    std::array<int, 2> started;
};

void PrintTo(const unknown_case& row, std::ostream* out)
{
    *out << row.name;
}

class unknown_states : public testing::TestWithParam<unknown_case> {};

// Guards against a restarted server that gets the rate of a warm one until its first announcement.
TEST_P(unknown_states, count_as_cold_until_the_next_announcement)
{
    call_driver path(true);
    auto& server = path.fixture.view.local.front();
    server.cold_burst = burst_of_22;
    server.announced_at = traffic_fixture::at_ms(3'500);
    path.handle(call_of(e1, true), 4'000);
    GetParam().act(path);
    std::array<int, 2> started{};
    started[0] = offer_calls(path, 5'000).first;
    path.fixture.view.local.front().announced_at = traffic_fixture::at_ms(6'900);
    started[1] = offer_calls(path, 7'000).first;
    EXPECT_EQ(started, GetParam().started);
}

/// No announcement of the server for a time; then it is announced again.
void announce_again(call_driver& path)
{
    path.handle(transfer_connected{t1}, 4'100);
    path.handle(response_started{t1, response_class::served, {}, {}}, 4'100);
    path.handle(response_finished{t1, nullptr}, 4'100);
    const auto local = std::exchange(path.fixture.view.local, {});
    path.handle(tick{}, 4'200);
    path.fixture.view.local = local;
    path.fixture.view.local.front().announced_at = traffic_fixture::at_ms(4'300);
    path.handle(tick{}, 4'300);
}

INSTANTIATE_TEST_SUITE_P(
    table, unknown_states,
    testing::Values(
        unknown_case{
            "refused", [](auto& path) { path.handle(connect_failed{t1}, 4'100); }, {19, 40}},
        unknown_case{
            "reset", [](auto& path) { path.handle(transfer_failed{t1}, 4'100); }, {19, 40}},
        unknown_case{"reopened", announce_again, {19, 40}},
        unknown_case{"answered",
                     [](auto& path) {
                         path.handle(transfer_connected{t1}, 4'100);
                         path.handle(response_started{t1, response_class::served, {}, {}}, 4'100);
                         path.handle(response_finished{t1, nullptr}, 4'100);
                     },
                     {40, 40}}));

// Guards against a server that becomes cold while calls are queued, and then gets all of them.
TEST(gatekeeper, queued_calls_count_against_the_limit_of_a_cold_server)
{
    call_driver path(true);
    path.handle(call_of(exchange_id(1), true), 5'000);
    for (std::uint64_t number = 2; number < 40; ++number) {
        path.handle(call_of(exchange_id(number), true), 5'000);
    }
    auto& server = path.fixture.view.local.front();
    server.cold_burst = burst_of_22;
    server.cold_until = traffic_fixture::at_ms(9'000);
    const auto effects = path.fixture.handle(caller_disconnected{exchange_id(1)}, 5'100);
    EXPECT_EQ(effects.find("start"), std::string::npos) << effects;
    EXPECT_NE(effects.find("refuse e2 503 not-run backend-limit"), std::string::npos) << effects;
}

// Guards against a later run at the same port that gets no requests because the run before it has
// said that it leaves.
TEST(gatekeeper, a_later_run_gets_calls_after_the_earlier_one_has_left)
{
    call_driver path(true);
    auto& server = path.fixture.view.local.front();
    server.instance = base::instance_id("i1");
    auto state = leaving();
    state.instance = server.instance;
    path.handle(state, 0);
    EXPECT_EQ(offer_calls(path, 0).first, 0);
    server.instance = base::instance_id("i2");
    EXPECT_GT(offer_calls(path, 100).first, 0);
}

// Guards against starting a call whose claim is granted after its domain has been evacuated, and
// against keeping the claim.
TEST(gatekeeper, claim_granted_during_an_evacuation_is_released)
{
    call_driver path(false);
    path.advance(call_stage::claiming);
    path.fixture.view.local.front().evacuated = true;
    path.handle(tick{}, 5);
    EXPECT_EQ(path.fixture.handle(claim_granted{path.attempt()}, 10),
              "refuse e1 503 not-run evacuated left 2\nrelease-claim\n");
}

// Guards against a running call that an evacuation interrupts.
TEST(gatekeeper, running_calls_end_normally_during_an_evacuation)
{
    call_driver path(true);
    path.advance(call_stage::sent);
    EXPECT_EQ(path.interrupt(interruption_kind::evacuation), "");
    EXPECT_EQ(path.fixture.handle(response_started{t1, response_class::served, {}, {}}, 20),
              "relay e1 t1 left 2\n");
    EXPECT_EQ(path.fixture.handle(response_finished{t1, nullptr}, 21), "");
}

// Guards against starting a call whose key was withdrawn while the call was queued.
TEST(gatekeeper, key_withdrawn_in_the_queue_never_starts)
{
    call_driver path(true);
    path.advance(call_stage::queued);
    path.fixture.key.active = false;
    EXPECT_EQ(path.fixture.handle(caller_disconnected{e2}, 10),
              "cancel t1\nrefuse e1 403 not-run key-withdrawn left 2\n");
}

} // namespace
} // namespace damaskladder::node
