#include "claims/claim_client.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace damaskladder::claims {
namespace {

using std::chrono::milliseconds;

/// An answer of the log in flight to a gatekeeper.
using log_answer = std::variant<claim_reply, claim_ack>;

/// In-memory model of the claims that the replicated log must implement.
class fake_log {
public:
    /// Whether a delayed duplicate of a released attempt's claim is refused.
    bool remembers_released = true;

    log_answer apply(const claim_effect& submission)
    {
        if (const auto* wanted = std::get_if<claim>(&submission)) {
            return apply_claim(*wanted);
        }
        if (const auto* freed = std::get_if<claim_release>(&submission)) {
            auto found = m_claims.find(freed->request);
            if (found != m_claims.end() && found->second.wanted.attempt == freed->attempt &&
                !found->second.done) {
                m_claims.erase(found);
            }
            m_released.insert(freed->attempt);
            return claim_ack{freed->attempt, freed->sequence};
        }
        const auto& answered = std::get<claim_complete>(submission);
        auto found = m_claims.find(answered.request);
        if (found != m_claims.end() && found->second.wanted.attempt == answered.attempt) {
            found->second.done = true;
        }
        return claim_ack{answered.attempt, answered.sequence};
    }

    bool free(const base::request_id& request) const { return !m_claims.contains(request); }

private:
    struct entry {
        claim wanted;
        bool done = false;
    };

    claim_reply apply_claim(const claim& wanted)
    {
        if (remembers_released && m_released.contains(wanted.attempt)) {
            return {wanted.attempt, claim_status::held_running, {}};
        }
        const auto [found, added] = m_claims.try_emplace(wanted.request, entry{wanted, false});
        const auto& holder = found->second;
        if (holder.wanted.content != wanted.content) {
            return {wanted.attempt, claim_status::conflict, {}};
        }
        if (holder.done) {
            return {wanted.attempt, claim_status::held_done, holder.wanted.node};
        }
        const bool same = holder.wanted.attempt == wanted.attempt;
        return {wanted.attempt, same ? claim_status::granted : claim_status::held_running,
                holder.wanted.node};
    }

    std::map<base::request_id, entry> m_claims;
    std::set<base::attempt_id> m_released;
};

const base::request_id request("1700000000-a");

claim claim_of(std::uint64_t attempt)
{
    return {base::workspace_id("w"), request, base::attempt_id(attempt), base::node_id("g"), {}};
}

/// Steps of attempt 1, one letter each:
///  - b: begin; n: not started; a: answered; u: outcome unknown
///  - d: deliver the next message; D: deliver all; l: lose the next message
///  - 2: deliver the next message and append a duplicate to the queue; s: swap the next two
///  - t: advance by 200 ms; g: advance to the deadline's reserve; w: as g, but no on_time()
///  - o: another attempt gets the claim; O: the other attempt releases it
///  - x: the gatekeeper restarts
struct interruption_case {
    std::string name;
    std::string steps;
    /// The only outcome of attempt 1; nullopt if the gatekeeper restarted before it.
    std::optional<claim_verdict> outcome;
    /// The log's answer to another attempt at the end.
    claim_status next_attempt;
};

class claim_interruptions : public testing::TestWithParam<interruption_case> {
protected:
    void apply(const claim_effects& effects)
    {
        for (const auto& effect : effects) {
            if (const auto* outcome = std::get_if<claim_outcome>(&effect)) {
                m_outcomes.push_back(outcome->verdict);
            }
            else {
                m_messages.emplace_back(effect);
            }
        }
    }

    void deliver(bool keep_copy)
    {
        ASSERT_FALSE(m_messages.empty());
        const auto next = m_messages.front();
        m_messages.pop_front();
        if (const auto* submission = std::get_if<claim_effect>(&next)) {
            m_messages.emplace_back(m_log.apply(*submission));
        }
        else if (const auto* answer = std::get_if<log_answer>(&next)) {
            const auto* reply = std::get_if<claim_reply>(answer);
            apply(reply ? m_client->on_reply(*reply, m_now)
                        : m_client->on_ack(std::get<claim_ack>(*answer), m_now));
        }
        if (keep_copy) {
            m_messages.push_back(next);
        }
    }

    void step(char letter)
    {
        const base::attempt_id id(1);
        switch (letter) {
        case 'b':
            return apply(m_client->begin(claim_of(1), m_now + milliseconds(1'000), m_now));
        case 'd':
            return deliver(false);
        case '2':
            return deliver(true);
        case 'l':
            return m_messages.pop_front();
        case 'o':
            m_log.apply(claim_of(3));
            return;
        case 'O':
            m_log.apply(claim_release{base::workspace_id("w"), request, base::attempt_id(3), {}});
            return;
        case 's':
            ASSERT_GT(m_messages.size(), 1U);
            return std::swap(m_messages[0], m_messages[1]);
        case 't':
            m_now += milliseconds(200);
            return apply(m_client->on_time(m_now));
        case 'g':
            m_now += milliseconds(995);
            return apply(m_client->on_time(m_now));
        case 'w':
            m_now += milliseconds(995);
            return;
        case 'n':
            return apply(m_client->release(id, m_now));
        case 'a':
            return apply(m_client->complete(id, m_now));
        case 'u':
            return m_client->forget(id);
        case 'x':
            m_client = std::make_unique<claim_client>(claim_options{}, [] { return 0; });
            return;
        default:
            while (!m_messages.empty()) {
                deliver(false);
            }
        }
    }

    fake_log m_log;
    std::unique_ptr<claim_client> m_client =
        std::make_unique<claim_client>(claim_options{}, [] { return 0; });
    std::deque<std::variant<claim_effect, log_answer>> m_messages;
    std::vector<claim_verdict> m_outcomes;
    base::time_point m_now{};
};

// Guards against two outcomes of one attempt, against a claim that stays held although the attempt
// certainly did not run, and against a claim that is freed although the attempt may have run.
TEST_P(claim_interruptions, leave_correct_claim_state)
{
    const auto& param = GetParam();
    // The client must release late grants without help from the log.
    m_log.remembers_released = false;
    for (const char letter : param.steps) {
        step(letter);
    }
    std::vector<claim_verdict> expected;
    if (param.outcome) {
        expected.push_back(*param.outcome);
    }
    EXPECT_EQ(m_outcomes, expected);
    const auto answer = std::get<claim_reply>(m_log.apply(claim_of(2)));
    EXPECT_EQ(answer.status, param.next_attempt);
}

constexpr auto granted = claim_verdict::granted;
constexpr auto unavailable = claim_verdict::not_available;
constexpr auto is_free = claim_status::granted;
constexpr auto is_held = claim_status::held_running;
constexpr auto is_done = claim_status::held_done;

INSTANTIATE_TEST_SUITE_P(
    table, claim_interruptions,
    testing::Values(
        interruption_case{"complete", "bddaD", granted, is_done},
        interruption_case{"not_started", "bddnD", granted, is_free},
        interruption_case{"unknown", "bdduD", granted, is_held},
        // Faults between claim and grant.
        interruption_case{"claim_lost", "bltdd", granted, is_held},
        interruption_case{"claim_lost_for_good", "blgltltD", unavailable, is_free},
        interruption_case{"reply_lost", "bdltdd", granted, is_held},
        interruption_case{"reply_lost_for_good", "bdlgD", unavailable, is_free},
        interruption_case{"reply_late", "bdgD", unavailable, is_free},
        interruption_case{"claim_late", "bgD", unavailable, is_free},
        interruption_case{"release_overtakes_claim", "bgsD", unavailable, is_free},
        interruption_case{"ack_of_overtaking_release_is_late", "bgsddsdD", unavailable, is_free},
        interruption_case{"ack_of_earlier_release", "bgsddsddltD", unavailable, is_free},
        interruption_case{"reply_after_unnoticed_deadline", "bdwdD", unavailable, is_free},
        interruption_case{"claim_repeated", "b2dD", granted, is_held},
        interruption_case{"reply_repeated", "bd2D", granted, is_held},
        interruption_case{"restart_before_grant", "bxD", std::nullopt, is_held},
        // A duplicate claim is granted after the original was refused (found by schedule 152).
        interruption_case{"held_by_another", "obddD", claim_verdict::held_running, is_held},
        interruption_case{"late_grant_after_refusal", "ob2dOdD", claim_verdict::held_running,
                          is_free},
        interruption_case{"lost_late_grant_after_refusal", "ob2dOdslD", claim_verdict::held_running,
                          is_free},
        // Faults between grant and answer.
        interruption_case{"restart_after_grant", "bddxD", granted, is_held},
        interruption_case{"restart_after_answer", "bddaxl", granted, is_held},
        // Faults of the release.
        interruption_case{"release_lost", "bddnltD", granted, is_free},
        interruption_case{"release_repeated", "bddn2D", granted, is_free},
        interruption_case{"release_ack_lost", "bddndltD", granted, is_free},
        interruption_case{"claim_copy_after_release", "b2ndnD", granted, is_free},
        // Faults of the completion.
        interruption_case{"completion_lost", "bddaltD", granted, is_done},
        interruption_case{"completion_ack_lost", "bddadltD", granted, is_done},
        interruption_case{"claim_copy_after_completion", "b2daD", granted, is_done},
        // Calls that do not fit the state.
        interruption_case{"release_after_completion", "bddanD", granted, is_done},
        interruption_case{"completion_after_release", "bddnaD", granted, is_free},
        interruption_case{"release_before_grant", "bnD", granted, is_held},
        interruption_case{"begin_twice_in_vain", "bddgnD", granted, is_free}),
    [](const auto& param) { return param.param.name; });

struct schedule_case {
    std::string name;
    bool remembers_released;
    std::uint64_t restarts;
    int schedules;
};

class claim_schedules : public testing::TestWithParam<schedule_case> {};

struct delivery {
    std::size_t to;
    std::variant<claim_effect, log_answer> message;
};

/// Three gatekeepers that repeatedly attempt the same few requests.
class schedule {
public:
    schedule(std::uint64_t seed, const schedule_case& param) : m_random(seed), m_param(param)
    {
        log.remembers_released = param.remembers_released;
        for (std::size_t i = 0; i < 3; ++i) {
            restart(i);
        }
    }

    void run()
    {
        for (int ms = 0; ms < 16'000; ++ms) {
            const bool quiet = ms >= 10'000;
            if (!quiet && m_random() % 40 == 0) {
                begin(m_random() % 3);
            }
            if (!quiet && m_random() % 10'000 < m_param.restarts) {
                restart(m_random() % 3);
            }
            const auto due = m_queue.equal_range(ms);
            const std::vector<std::pair<const int, delivery>> arrived(due.first, due.second);
            m_queue.erase(ms);
            m_loss = quiet ? 0 : 20;
            m_ms = ms;
            for (const auto& [at, item] : arrived) {
                deliver(item);
            }
            for (std::size_t i = 0; i < 3; ++i) {
                if (ms % 5 == 0) {
                    apply(i, m_clients[i]->on_time(now()));
                }
            }
        }
    }

    fake_log log;
    /// Number of attempts that ran, by request.
    std::map<base::request_id, int> runs;
    /// Attempts reported to the caller as not run.
    std::set<base::attempt_id> told_not_run;
    std::set<base::attempt_id> ran;
    std::set<base::request_id> requests;
    int duplicate_outcomes = 0;

private:
    base::time_point now() const { return base::time_point(milliseconds(m_ms)); }

    void restart(std::size_t i)
    {
        m_clients[i] =
            std::make_unique<claim_client>(claim_options{}, [this] { return m_random(); });
    }

    void begin(std::size_t at)
    {
        const base::attempt_id id(++m_attempts);
        const base::request_id wanted("1700000000-" + std::to_string(m_random() % 20));
        requests.insert(wanted);
        m_requests[id] = wanted;
        const auto deadline = now() + milliseconds(5 + m_random() % 400);
        apply(at, m_clients[at]->begin(
                      {base::workspace_id("w"), wanted, id, base::node_id(std::to_string(at)), {}},
                      deadline, now()));
    }

    void on_outcome(std::size_t at, const claim_outcome& outcome)
    {
        duplicate_outcomes += m_decided.insert(outcome.attempt).second ? 0 : 1;
        if (outcome.verdict != claim_verdict::granted) {
            told_not_run.insert(outcome.attempt);
            return;
        }
        // The caller may disconnect, or the backend server may start to drain, before the request
        // is sent to it.
        if (m_random() % 3 == 0) {
            told_not_run.insert(outcome.attempt);
            apply(at, m_clients[at]->release(outcome.attempt, now()));
            return;
        }
        ran.insert(outcome.attempt);
        ++runs[m_requests[outcome.attempt]];
        if (m_random() % 4 == 0) {
            m_clients[at]->forget(outcome.attempt);
        }
        else {
            apply(at, m_clients[at]->complete(outcome.attempt, now()));
        }
    }

    void apply(std::size_t at, const claim_effects& effects)
    {
        for (const auto& effect : effects) {
            if (const auto* outcome = std::get_if<claim_outcome>(&effect)) {
                on_outcome(at, *outcome);
            }
            else {
                send({at, effect});
            }
        }
    }

    void send(const delivery& item)
    {
        for (int copies = m_random() % 10 == 0 ? 2 : 1; copies > 0; --copies) {
            if (m_random() % 100 >= m_loss) {
                const auto longest = m_random() % 10 == 0 ? 1'500 : 10;
                m_queue.emplace(m_ms + 1 + static_cast<int>(m_random() % longest), item);
            }
        }
    }

    void deliver(const delivery& item)
    {
        if (const auto* submission = std::get_if<claim_effect>(&item.message)) {
            send({item.to, log.apply(*submission)});
            return;
        }
        const auto& answer = std::get<log_answer>(item.message);
        auto& client = *m_clients[item.to];
        const auto* reply = std::get_if<claim_reply>(&answer);
        apply(item.to, reply ? client.on_reply(*reply, now())
                             : client.on_ack(std::get<claim_ack>(answer), now()));
    }

    std::mt19937_64 m_random;
    schedule_case m_param;
    std::array<std::unique_ptr<claim_client>, 3> m_clients;
    std::multimap<int, delivery> m_queue;
    std::map<base::attempt_id, base::request_id> m_requests;
    std::set<base::attempt_id> m_decided;
    std::uint64_t m_attempts = 0;
    std::uint64_t m_loss = 20;
    int m_ms = 0;
};

// Guards against a request that runs twice, against an attempt that ran but is reported as not run,
// and against a claim that stays held although no attempt of its request ran.
TEST_P(claim_schedules, run_at_most_once)
{
    int runs = 0;
    int refused = 0;
    for (int seed = 0; seed < GetParam().schedules; ++seed) {
        schedule s(static_cast<std::uint64_t>(seed), GetParam());
        s.run();
        ASSERT_EQ(s.duplicate_outcomes, 0) << "seed " << seed;
        for (const auto& [id, count] : s.runs) {
            ASSERT_EQ(count, 1) << "seed " << seed << " request " << id;
        }
        for (const auto& attempt : s.told_not_run) {
            ASSERT_FALSE(s.ran.contains(attempt)) << "seed " << seed;
        }
        for (const auto& id : s.requests) {
            const bool must_be_free =
                GetParam().remembers_released && GetParam().restarts == 0 && !s.runs.contains(id);
            ASSERT_TRUE(!must_be_free || s.log.free(id)) << "seed " << seed << " request " << id;
        }
        runs += static_cast<int>(s.runs.size());
        refused += static_cast<int>(s.told_not_run.size());
    }
    EXPECT_GT(runs, 0);
    EXPECT_GT(refused, runs);
}

INSTANTIATE_TEST_SUITE_P(seeded, claim_schedules,
                         testing::Values(schedule_case{"messages", true, 0, 400},
                                         schedule_case{"log_forgets_released", false, 0, 300},
                                         schedule_case{"restarts", true, 20, 300}),
                         [](const auto& param) { return param.param.name; });

// Guards against records of attempts that grow without bound.
TEST(claim_client, is_bounded_and_forgets)
{
    claim_options options;
    options.max_attempts = 2;
    claim_client client(options, [] { return 0; });
    base::time_point now{};
    client.begin(claim_of(1), now + milliseconds(100), now);
    client.begin(claim_of(2), now + milliseconds(100), now);
    const auto effects = client.begin(claim_of(3), now + milliseconds(100), now);
    ASSERT_EQ(effects.size(), 1U);
    EXPECT_EQ(std::get<claim_outcome>(effects[0]).verdict, unavailable);
    now += milliseconds(100);
    client.on_time(now);
    EXPECT_EQ(client.size(), 2U);
    client.on_time(now + options.report_retention);
    EXPECT_EQ(client.size(), 0U);
    EXPECT_EQ(client.next_time(), base::time_point::max());
}

} // namespace
} // namespace damaskladder::claims
