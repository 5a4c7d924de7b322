#include "node/traffic_fixture.hpp"

#include <gtest/gtest.h>

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

/// Where a call is cut.
enum class cut_point { queued, claiming, connecting, sent, answering };

/// What cuts it.
enum class cut_kind {
    caller_gone,
    deadline,
    connect_failed,
    broke,
    drain,
    held,
    answered_before,
    unavailable,
    granted_late,
};

struct cut_case {
    const char* name;
    bool idempotent;
    cut_point point;
    cut_kind kind;
    const char* effects;
};

void PrintTo(const cut_case& row, std::ostream* out)
{
    *out << row.name;
}

/// Brings a call of exchange 1 to a point of its path.
class gatekeeper_path {
public:
    explicit gatekeeper_path(bool idempotent) : m_idempotent(idempotent) {}

    void advance(cut_point point)
    {
        if (point == cut_point::queued) {
            handle(call_of(e2, true), 0);
            handle(call_of(e1, m_idempotent), 0);
            return;
        }
        handle(call_of(e1, m_idempotent), 0);
        if (!m_idempotent && point != cut_point::claiming) {
            handle(claim_granted{attempt()}, 0);
        }
        if (point == cut_point::sent || point == cut_point::answering) {
            handle(transfer_connected{t1}, 0);
        }
        if (point == cut_point::answering) {
            handle(answer_started{t1, answer_class::served, {}, {}}, 0);
        }
    }

    std::string cut(cut_kind kind)
    {
        switch (kind) {
        case cut_kind::caller_gone:
            return fixture.handle(caller_gone{e1}, 10);
        case cut_kind::deadline:
            return fixture.handle(tick{}, 500);
        case cut_kind::connect_failed:
            return fixture.handle(connect_failed{t1}, 10);
        case cut_kind::broke:
            return fixture.handle(transfer_broke{t1}, 10);
        case cut_kind::drain:
            return fixture.handle(drain_requested{base::service_id("s")}, 10);
        case cut_kind::held:
            return fixture.handle(claim_denied{attempt(), claim_denial::held}, 10);
        case cut_kind::answered_before:
            return fixture.handle(claim_denied{attempt(), claim_denial::already_answered}, 10);
        case cut_kind::unavailable:
            return fixture.handle(claim_denied{attempt(), claim_denial::unavailable}, 10);
        case cut_kind::granted_late:
            return fixture.handle(claim_granted{attempt()}, 500);
        }
        return {};
    }

    void handle(const event& happened, std::int64_t ms)
    {
        std::vector<effect> out;
        fixture.machine.handle(happened, fixture.view, traffic_fixture::at_ms(ms), out);
        for (const auto& wanted : out) {
            if (const auto* claim = std::get_if<ask_claim>(&wanted)) {
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

class gatekeeper_cuts : public testing::TestWithParam<cut_case> {};

// Guards, at each cut of admit, claim, hand over and answer, against a false "not run", a claim
// that is released although the call may have run or kept although it did not, and a slot that is
// never freed.
TEST_P(gatekeeper_cuts, tell_the_truth_and_free_what_is_held)
{
    const auto& row = GetParam();
    gatekeeper_path path(row.idempotent);
    path.advance(row.point);
    EXPECT_EQ(path.cut(row.kind), row.effects);
    if (row.kind == cut_kind::drain) {
        return;
    }
    const auto* control = path.fixture.machine.control_of(base::service_id("s"));
    const bool queued = row.point == cut_point::queued;
    EXPECT_EQ(control->running(), base::slot_count(queued && row.kind == cut_kind::caller_gone));
    EXPECT_EQ(control->queued(), 0);
}

INSTANTIATE_TEST_SUITE_P(
    table, gatekeeper_cuts,
    testing::Values(
        cut_case{"queued, caller gone", true, cut_point::queued, cut_kind::caller_gone, ""},
        cut_case{"queued, drain", true, cut_point::queued, cut_kind::drain,
                 "refuse e1 503 not-run draining left 2\n"},
        cut_case{"claiming, caller gone", false, cut_point::claiming, cut_kind::caller_gone,
                 "release-claim\n"},
        cut_case{"claiming, deadline", false, cut_point::claiming, cut_kind::deadline,
                 "refuse e1 504 not-run deadline left 2\nrelease-claim\n"},
        cut_case{"claiming, granted after the deadline", false, cut_point::claiming,
                 cut_kind::granted_late, "refuse e1 504 not-run deadline left 2\nrelease-claim\n"},
        cut_case{"claiming, held by another attempt", false, cut_point::claiming, cut_kind::held,
                 "refuse e1 409 unknown claim-held left 2\n"},
        cut_case{"claiming, answered before", false, cut_point::claiming, cut_kind::answered_before,
                 "refuse e1 409 unknown already-answered left 2\n"},
        cut_case{"claiming, no quorum", false, cut_point::claiming, cut_kind::unavailable,
                 "refuse e1 503 not-run claim-unavailable left 2\nrelease-claim\n"},
        cut_case{"connecting, failed", false, cut_point::connecting, cut_kind::connect_failed,
                 "refuse e1 503 not-run unreachable left 2\nrelease-claim\n"},
        cut_case{"connecting, broke", false, cut_point::connecting, cut_kind::broke,
                 "refuse e1 502 unknown backend-failed left 2\n"},
        cut_case{"connecting, caller gone", false, cut_point::connecting, cut_kind::caller_gone,
                 "cancel t1\nrelease-claim\n"},
        cut_case{"connecting, deadline", false, cut_point::connecting, cut_kind::deadline,
                 "cancel t1\nrefuse e1 504 not-run deadline left 2\nrelease-claim\n"},
        cut_case{"sent, connect failed after all", false, cut_point::sent, cut_kind::connect_failed,
                 "refuse e1 502 unknown backend-failed left 2\n"},
        cut_case{"sent, broke", false, cut_point::sent, cut_kind::broke,
                 "refuse e1 502 unknown backend-failed left 2\n"},
        cut_case{"sent, caller gone", false, cut_point::sent, cut_kind::caller_gone, "cancel t1\n"},
        cut_case{"sent, deadline", false, cut_point::sent, cut_kind::deadline,
                 "cancel t1\nrefuse e1 504 unknown deadline left 2\n"},
        cut_case{"sent, deadline, idempotent", true, cut_point::sent, cut_kind::deadline,
                 "cancel t1\nrefuse e1 504 unknown deadline left 2\n"},
        cut_case{"sent, drain finishes it", true, cut_point::sent, cut_kind::drain, ""},
        cut_case{"answering, broke", false, cut_point::answering, cut_kind::broke, "cut e1\n"},
        cut_case{"answering, caller gone", false, cut_point::answering, cut_kind::caller_gone,
                 "cancel t1\n"},
        cut_case{"answering, connect failed after all", false, cut_point::answering,
                 cut_kind::connect_failed, "cut e1\n"}));

// Guards against a whole call that is not completed, or relayed without its allowance.
TEST(gatekeeper, completes_the_claim_with_the_answer)
{
    gatekeeper_path path(false);
    path.advance(cut_point::sent);
    EXPECT_EQ(path.fixture.handle(answer_started{t1, answer_class::served, {}, {}}, 5),
              "relay e1 t1 left 2\n");
    EXPECT_EQ(path.fixture.handle(tick{}, 600), "");
    EXPECT_EQ(path.fixture.handle(answer_finished{t1, nullptr}, 700), "complete-claim\n");
    EXPECT_EQ(path.fixture.machine.running(), 0U);
}

// Guards against a new attempt, or an HTTP library's resend, on a kept connection.
TEST(gatekeeper, non_idempotent_calls_get_a_fresh_connection)
{
    gatekeeper_path path(false);
    path.advance(cut_point::claiming);
    EXPECT_EQ(path.fixture.handle(claim_granted{path.attempt()}, 5), "start t1 e1 fresh\n");
}

struct arrival_case {
    const char* name;
    std::function<void(gatekeeper_path&, call_arrived&)> change;
    const char* effects;
};

void PrintTo(const arrival_case& row, std::ostream* out)
{
    *out << row.name;
}

class arrivals : public testing::TestWithParam<arrival_case> {};

// Guards against work on withdrawn keys, on stale settings, on a draining backend server, or while
// the node stops.
TEST_P(arrivals, are_checked)
{
    gatekeeper_path path(true);
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

// Guards against a key that is withdrawn while its call waits in the queue.
TEST(gatekeeper, key_withdrawn_in_the_queue_never_starts)
{
    gatekeeper_path path(true);
    path.advance(cut_point::queued);
    path.fixture.key.active = false;
    EXPECT_EQ(path.fixture.handle(caller_gone{e2}, 10),
              "cancel t1\nrefuse e1 403 not-run key-withdrawn left 2\n");
}

} // namespace
} // namespace damaskladder::node
