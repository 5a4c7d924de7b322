#include "node/traffic_fixture.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace damaskladder::node {
namespace {

/// Feeds one machine with random events, both valid and stale, and checks its effects against the
/// contract.
class random_session {
public:
    explicit random_session(std::uint64_t seed) : m_random(seed)
    {
        m_fixture.view.local.front().slots = base::slot_count(1 + pick(3));
    }

    void run(int steps)
    {
        for (int n = 0; n < steps; ++n) {
            m_ms += static_cast<std::int64_t>(pick(20));
            step();
        }
        for (int n = 0; n < 3; ++n) {
            m_ms += 400'000;
            handle(tick{});
        }
        for (const auto& asked : m_token_requests) {
            grant(asked);
        }
        EXPECT_EQ(m_fixture.machine.running(), 0U);
        EXPECT_EQ(m_fixture.machine.next_deadline(), std::nullopt);
        EXPECT_EQ(m_ended.size(), m_arrived.size()) << "an exchange did not end";
        const auto* control = m_fixture.machine.control_of(base::service_id("s"));
        if (control != nullptr) {
            EXPECT_EQ(control->running(), base::slot_count(0)) << "a slot was not freed";
        }
        check_tokens();
    }

private:
    std::uint64_t pick(std::uint64_t below) { return m_random() % below; }

    exchange_id arrive()
    {
        const exchange_id exchange(++m_last_exchange);
        m_arrived.insert(exchange);
        return exchange;
    }

    void step()
    {
        switch (pick(12)) {
        case 0:
        case 1:
            return handle(random_request());
        case 2:
        case 3:
            return handle(random_call());
        case 4:
            return handle(random_onward());
        case 5:
            return token_event();
        case 6:
            return claim_event();
        case 7:
            return handle(tick{});
        case 8:
            return disconnect_caller();
        default:
            return transfer_event();
        }
    }

    request_arrived random_request()
    {
        request_arrived request;
        request.exchange = arrive();
        request.path = pick(3) == 0 ? "/open" : pick(2) == 0 ? "/once" : "/keyed";
        request.key = traffic_fixture::hash_of('k');
        if (pick(2) == 0) {
            request.request = base::request_id("1-" + std::to_string(pick(4)));
            request.content = base::content_hash(pick(8) == 0 ? "d" : "c");
        }
        request.body_can_be_resent = pick(4) != 0;
        return request;
    }

    call_arrived random_call()
    {
        call_arrived call;
        call.exchange = arrive();
        call.service = base::service_id("s");
        call.context.workspace = base::workspace_id("w");
        call.context.key = base::key_id("k");
        call.context.call = base::call_id(call.exchange.value());
        call.context.budget = std::chrono::milliseconds(pick(800));
        call.context.idempotent = pick(2) == 0;
        call.content = base::content_hash("c");
        return call;
    }

    onward_call_arrived random_onward()
    {
        onward_call_arrived onward;
        onward.exchange = arrive();
        onward.path = "/keyed";
        onward.parent.call = base::call_id(1 + pick(m_last_exchange));
        onward.body_can_be_resent = true;
        return onward;
    }

    void token_event()
    {
        if (m_token_requests.empty()) {
            return;
        }
        const auto asked = m_token_requests.back();
        m_token_requests.pop_back();
        if (pick(5) == 0) {
            handle(token_refused{asked, std::chrono::milliseconds(5)});
        }
        else {
            grant(asked);
        }
    }

    void grant(exchange_id exchange)
    {
        const token_grant_id granted(++m_last_grant);
        m_grants[granted] = exchange;
        handle(token_granted{exchange, granted});
    }

    void claim_event()
    {
        if (m_claims.empty()) {
            return;
        }
        const auto attempt = m_claims.back();
        m_claims.pop_back();
        if (pick(4) == 0) {
            handle(claim_denied{attempt, static_cast<claim_denial>(pick(5))});
        }
        else {
            handle(claim_granted{attempt});
        }
    }

    void disconnect_caller()
    {
        const exchange_id exchange(1 + pick(m_last_exchange + 1));
        if (m_arrived.count(exchange) != 0 && m_ended.insert(exchange).second) {
            m_disconnected.insert(exchange);
        }
        handle(caller_disconnected{exchange});
    }

    void transfer_event()
    {
        const transfer_id transfer(1 + pick(m_last_transfer + 1));
        const bool sent = m_sent.count(transfer) != 0;
        switch (pick(6)) {
        case 0:
        case 1:
            m_sent.insert(transfer);
            return handle(transfer_connected{transfer});
        case 2:
            if (!sent) {
                m_not_run.insert(transfer);
                handle(connect_failed{transfer});
            }
            return;
        case 3:
            m_sent.insert(transfer);
            return handle(transfer_failed{transfer});
        case 4:
            return refuse_transfer(transfer);
        default:
            m_sent.insert(transfer);
            handle(response_started{transfer, response_class::served, base::retry_count(1), {}});
            return pick(4) == 0 ? void() : finish(transfer);
        }
    }

    void refuse_transfer(transfer_id transfer)
    {
        if (m_to_gatekeeper.count(transfer) == 0) {
            return;
        }
        const bool not_run = pick(2) == 0;
        m_sent.insert(transfer);
        if (not_run) {
            m_not_run.insert(transfer);
        }
        handle(gatekeeper_refused{transfer,
                                  not_run ? outcome::not_run : outcome::unknown,
                                  pick(2) == 0 ? refusal_reason::shed : refusal_reason::draining,
                                  base::retry_count(static_cast<int>(pick(4))),
                                  {}});
    }

    void finish(transfer_id transfer)
    {
        const auto relayed = m_relayed.find(transfer);
        if (relayed != m_relayed.end() && m_disconnected.count(relayed->second) == 0) {
            m_ended.insert(relayed->second);
        }
        auto copy = std::make_shared<kept_answer>(kept_answer{status_code(200), "", "yes"});
        handle(response_finished{transfer, pick(4) == 0 ? nullptr : copy});
    }

    void handle(const event& input)
    {
        std::vector<effect> out;
        m_fixture.machine.handle(input, m_fixture.view, traffic_fixture::at_ms(m_ms), out);
        for (const auto& wanted : out) {
            std::visit([&](const auto& one) { record(one); }, wanted);
        }
    }

    void end(exchange_id exchange)
    {
        EXPECT_EQ(m_arrived.count(exchange), 1U);
        EXPECT_TRUE(m_ended.insert(exchange).second) << "second end of exchange " << exchange;
    }

    void record(const request_token& wanted) { m_token_requests.push_back(wanted.exchange); }

    void record(const return_token& wanted)
    {
        EXPECT_EQ(m_grants.count(wanted.grant), 1U);
        EXPECT_TRUE(m_given_back.insert(wanted.grant).second) << "token returned twice";
    }

    void record(const forward_to_gatekeeper& wanted)
    {
        m_to_gatekeeper.insert(wanted.transfer);
        record_transfer(wanted.transfer, wanted.exchange);
    }

    void record(const start_at_backend_server& wanted)
    {
        record_transfer(wanted.transfer, wanted.exchange);
    }

    void record_transfer(transfer_id transfer, exchange_id exchange)
    {
        m_last_transfer = std::max(m_last_transfer, transfer.value());
        m_transfers[exchange].push_back(transfer);
        m_not_run.erase(transfer);
        m_sent.erase(transfer);
    }

    void record(const request_claim& wanted) { m_claims.push_back(wanted.attempt); }

    void record(const refuse& wanted)
    {
        end(wanted.exchange);
        if (wanted.reported_outcome == outcome::not_run) {
            EXPECT_FALSE(may_have_run(wanted.exchange))
                << "false not-run outcome of exchange " << wanted.exchange;
            m_said_not_run.insert(wanted.exchange);
        }
    }

    bool may_have_run(exchange_id exchange) const
    {
        const auto found = m_transfers.find(exchange);
        return found != m_transfers.end() &&
               std::any_of(found->second.begin(), found->second.end(), [&](transfer_id transfer) {
                   return m_sent.count(transfer) != 0 && m_not_run.count(transfer) == 0;
               });
    }

    void record(const replay_response& wanted) { end(wanted.exchange); }
    void record(const relay_response& wanted) { m_relayed[wanted.transfer] = wanted.exchange; }

    void record(const abort_response& wanted)
    {
        if (m_disconnected.count(wanted.exchange) == 0) {
            end(wanted.exchange);
        }
    }

    template <class Other>
    void record(const Other& /*wanted*/)
    {
    }

    void check_tokens()
    {
        for (const auto& [granted, exchange] : m_grants) {
            if (m_said_not_run.count(exchange) != 0) {
                EXPECT_EQ(m_given_back.count(granted), 1U)
                    << "token of exchange " << exchange << " not returned";
            }
        }
    }

    std::mt19937_64 m_random;
    traffic_fixture m_fixture;
    std::int64_t m_ms = 0;
    std::uint64_t m_last_exchange = 0;
    std::uint64_t m_last_transfer = 0;
    std::uint64_t m_last_grant = 0;
    std::set<exchange_id> m_arrived;
    std::set<exchange_id> m_ended;
    std::set<exchange_id> m_disconnected;
    std::set<exchange_id> m_said_not_run;
    std::vector<exchange_id> m_token_requests;
    std::vector<base::attempt_id> m_claims;
    std::map<token_grant_id, exchange_id> m_grants;
    std::set<token_grant_id> m_given_back;
    std::map<exchange_id, std::vector<transfer_id>> m_transfers;
    std::map<transfer_id, exchange_id> m_relayed;
    std::set<transfer_id> m_to_gatekeeper;
    std::set<transfer_id> m_sent;
    std::set<transfer_id> m_not_run;
};

class random_sessions : public testing::TestWithParam<int> {};

// Guards, over 1,000 seeded sessions of 400 events, against a false "not run", an exchange that
// ends never or twice, a rate token that is returned twice or lost, and a slot that is never freed.
TEST_P(random_sessions, keep_the_contract)
{
    for (int session = 0; session < 250; ++session) {
        const int seed = GetParam() * 1'000 + session;
        random_session(static_cast<std::uint64_t>(seed)).run(400);
        ASSERT_FALSE(HasFailure()) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(seeds, random_sessions, testing::Values(1, 2, 3, 4));

} // namespace
} // namespace damaskladder::node
