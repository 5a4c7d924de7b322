#include "quota/domain_holder.hpp"
#include "quota/node_quota.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <queue>
#include <random>

namespace damaskladder::quota {
namespace {

using std::chrono::milliseconds;

const base::workspace_id workspace("w");
constexpr int domains = 3;
constexpr std::int64_t ms = 1'000;
constexpr std::int64_t lease = 3'000 * ms;

/// Fault rates: in percent of messages for loss, duplicates and long_delays, in millionths per
/// millisecond for the other events. `drift` is the rate error of clocks.
struct faults {
    std::uint64_t loss = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t long_delays = 0;
    std::uint64_t restarts = 0;
    std::uint64_t hand_overs = 0;
    std::uint64_t partitions = 0;
    std::uint64_t stalls = 0;
    double drift = 0;
};

struct process {
    base::node_id id;
    int domain = 0;
    std::uint64_t run = 1;
    double rate = 1;
    std::int64_t offset = 0;
    std::int64_t stalled_until = 0;
    std::unique_ptr<node_quota> node;
    std::unique_ptr<domain_holder> holder;

    base::time_point local(std::int64_t real) const
    {
        return base::time_point(
            base::duration(offset + static_cast<std::int64_t>(static_cast<double>(real) * rate)));
    }
};

/// Actual state of a domain's lease, in real time.
struct domain_lease {
    int holder = 0;
    std::uint64_t epoch = 0;
    std::int64_t until = 0;
    std::int64_t renew_at = 0;
    bool handing_over = false;
};

struct delivery {
    std::int64_t at;
    int from;
    int to;
    quota_message message;

    bool operator<(const delivery& other) const { return at > other.at; }
};

/// Nodes and holders of three domains with delayed messages, in steps of 250 us of real time.
class fleet {
public:
    fleet(std::uint64_t seed, int nodes_per_domain, workspace_quota quota, faults f)
        : m_random(seed), m_per_domain(nodes_per_domain), m_quota(std::move(quota)), m_faults(f)
    {
        for (int i = 0; i < domains * nodes_per_domain; ++i) {
            process p;
            p.id = base::node_id(std::to_string(i));
            p.domain = i / nodes_per_domain;
            p.rate = 1 + m_faults.drift * (static_cast<double>(random_below(3)) - 1);
            p.offset = static_cast<std::int64_t>(random_below(1'000'000'000));
            m_processes.push_back(std::move(p));
            start_node(m_processes.back());
        }
        for (int d = 0; d < domains; ++d) {
            acquire(d, d * m_per_domain);
        }
    }

    std::uint64_t random_below(std::uint64_t bound) { return m_random() % bound; }
    int nodes() const { return static_cast<int>(m_processes.size()); }
    std::int64_t now() const { return m_now; }

    void run_until(std::int64_t end)
    {
        for (; m_now < end; m_now += ms / 4) {
            if (m_now % ms == 0) {
                inject_faults();
                for (int d = 0; d < domains; ++d) {
                    update_lease(d);
                }
                release_due();
            }
            deliver();
            for (int i = 0; i < nodes(); ++i) {
                tick(i);
            }
        }
    }

    void request(int at)
    {
        auto& p = m_processes[at];
        if (m_now < p.stalled_until) {
            return;
        }
        const auto now = p.local(m_now);
        const base::call_id call(++m_calls);
        node_effects effects;
        const auto answer = p.node->take(workspace, call, now + milliseconds(200), now, effects);
        apply(at, effects);
        if (answer.verdict == take_verdict::taken) {
            admit(at, call);
        }
        refused += answer.verdict == take_verdict::refused ? 1 : 0;
    }

    /// Changes the rate and burst at all nodes and holders.
    void set_quota(const workspace_quota& quota)
    {
        m_quota = quota;
        ++m_version;
        for (auto& p : m_processes) {
            node_effects effects;
            p.node->set_quotas({quota}, p.local(m_now), effects);
            if (p.holder) {
                p.holder->set_quotas(base::settings_version(m_version), {quota}, p.local(m_now));
            }
        }
    }

    /// Real times of the requests that ran or may have run.
    std::vector<std::int64_t> admitted() const
    {
        std::vector<std::int64_t> times;
        for (const auto& [call, at] : m_admitted) {
            times.push_back(at);
        }
        std::sort(times.begin(), times.end());
        return times;
    }

    int refused = 0;
    int messages = 0;
    int refunds = 0;
    /// Probability in percent that an admitted request does not run and returns its token.
    std::uint64_t refund_chance = 0;

private:
    struct refund {
        std::int64_t at;
        int node;
        std::uint64_t run;
        base::call_id call;
    };

    holder_id holder_of(int d) const
    {
        const auto& p = m_processes[m_leases[d].holder];
        return {p.id, base::incarnation(p.run), lease::lease_epoch(m_leases[d].epoch)};
    }

    void start_node(process& p)
    {
        p.node = std::make_unique<node_quota>(quota_options{}, p.id, base::incarnation(p.run));
        node_effects effects;
        p.node->set_quotas({m_quota}, p.local(m_now), effects);
    }

    void acquire(int d, int at)
    {
        auto& p = m_processes[at];
        m_leases[d] = {at, m_leases[d].epoch + 1, m_now + lease, m_now + lease / 4, false};
        const quota_options options;
        const auto now = p.local(m_now);
        constexpr std::int64_t cuts[] = {0, 333'333, 666'666, 1'000'000};
        p.holder = std::make_unique<domain_holder>(
            options, holder_of(d), domain_share{share_point(cuts[d]), share_point(cuts[d + 1])},
            now + options.drift.shortened(base::duration(lease)), now);
        p.holder->set_quotas(base::settings_version(m_version), {m_quota}, now);
    }

    /// Renews and hands over leases, replaces holders, and announces them in place of the
    /// membership library.
    void update_lease(int d)
    {
        auto& l = m_leases[d];
        auto& p = m_processes[l.holder];
        const bool awake = m_now >= p.stalled_until;
        if (p.holder && awake && m_now >= l.renew_at && m_now < l.until) {
            l.until = m_now + lease;
            l.renew_at = m_now + lease / 4;
            p.holder->set_lease_end(p.local(m_now) +
                                    quota_options{}.drift.shortened(base::duration(lease)));
        }
        if (p.holder && awake && l.handing_over && p.holder->drained(p.local(m_now))) {
            p.holder.reset();
            l.until = m_now;
        }
        if (m_now >= l.until) {
            p.holder.reset();
            acquire(d, d * m_per_domain + static_cast<int>(random_below(m_per_domain)));
        }
        if (m_now % (20 * ms) == 0) {
            announce(d);
        }
    }

    void announce(int d)
    {
        for (int i = 0; i < nodes(); ++i) {
            auto& p = m_processes[i];
            if (p.domain == d) {
                node_effects effects;
                p.node->set_holder(holder_of(d), p.local(m_now), effects);
                apply(i, effects);
            }
        }
        std::vector<holder_id> peers;
        for (int other = 0; other < domains; ++other) {
            if (other != d) {
                peers.push_back(holder_of(other));
            }
        }
        auto& p = m_processes[m_leases[d].holder];
        if (p.holder) {
            p.holder->set_peers(peers, p.local(m_now));
        }
    }

    void inject_faults()
    {
        auto& p = m_processes[random_below(m_processes.size())];
        const auto draw = random_below(1'000'000);
        if (draw < m_faults.restarts) {
            ++p.run;
            p.holder.reset();
            start_node(p);
        }
        else if (draw < 2 * m_faults.restarts && m_faults.restarts > 0) {
            auto& holder = m_processes[m_leases[random_below(domains)].holder];
            ++holder.run;
            holder.holder.reset();
            start_node(holder);
        }
        if (random_below(1'000'000) < m_faults.hand_overs) {
            auto& l = m_leases[random_below(domains)];
            auto& holder = m_processes[l.holder];
            if (holder.holder && m_now >= holder.stalled_until) {
                l.handing_over = true;
                send(l.holder, holder.holder->stop(holder.local(m_now)));
            }
        }
        if (random_below(1'000'000) < m_faults.partitions) {
            m_cut_off = static_cast<int>(random_below(domains));
            m_cut_until = m_now + static_cast<std::int64_t>(random_below(2'000)) * ms;
        }
        if (random_below(1'000'000) < m_faults.stalls) {
            p.stalled_until = m_now + static_cast<std::int64_t>(random_below(4'000)) * ms;
        }
    }

    void tick(int i)
    {
        auto& p = m_processes[i];
        if (m_now < p.stalled_until) {
            return;
        }
        const auto now = p.local(m_now);
        if (now >= p.node->next_time()) {
            node_effects effects;
            p.node->on_time(now, effects);
            apply(i, effects);
        }
        if (p.holder && (m_now % (5 * ms) == 0)) {
            send(i, p.holder->on_time(now));
        }
    }

    void apply(int at, const node_effects& effects)
    {
        send(at, effects.sends);
        for (const auto& ending : effects.endings) {
            if (ending.answer.verdict == take_verdict::taken) {
                admit(at, ending.call);
            }
            refused += ending.answer.verdict == take_verdict::refused ? 1 : 0;
        }
    }

    void admit(int at, base::call_id call)
    {
        m_admitted.emplace(call.value(), m_now);
        if (random_below(100) < refund_chance) {
            const auto delay = static_cast<std::int64_t>(random_below(400)) * ms;
            m_refunds.push_back({m_now + delay, at, m_processes[at].run, call});
        }
        else {
            m_processes[at].node->settle(workspace, call);
        }
    }

    void release_due()
    {
        std::erase_if(m_refunds, [&](const refund& r) {
            auto& p = m_processes[r.node];
            if (m_now < r.at || m_now < p.stalled_until) {
                return false;
            }
            node_effects effects;
            if (r.run == p.run && p.node->return_token(workspace, r.call, p.local(m_now),
                                                       effects) == return_verdict::returned) {
                m_admitted.erase(r.call.value());
                ++refunds;
            }
            apply(r.node, effects);
            return true;
        });
    }

    void send(int from, const quota_sends& sends)
    {
        for (const auto& effect : sends) {
            ++messages;
            const int to = std::stoi(effect.to.value());
            const auto copies = random_below(100) < m_faults.duplicates ? 2 : 1;
            for (int i = 0; i < copies && random_below(100) >= m_faults.loss; ++i) {
                const bool cross_domain = m_processes[from].domain != m_processes[to].domain;
                auto delay = static_cast<std::int64_t>(cross_domain ? 1'400 + random_below(300)
                                                                    : 200 + random_below(200));
                if (random_below(100) < m_faults.long_delays) {
                    delay += static_cast<std::int64_t>(random_below(2'500)) * ms;
                }
                auto at = m_now + delay;
                if (m_faults.long_delays == 0) {
                    // One connection keeps messages in order. Long delays stand for a reconnect,
                    // which can reorder them.
                    auto& last = m_last_delivery[{from, to}];
                    at = last = std::max(at, last + 1);
                }
                m_queue.push({at, from, to, effect.message});
            }
        }
    }

    bool is_cut(int from, int to) const
    {
        const auto a = m_processes[from].domain;
        const auto b = m_processes[to].domain;
        return m_now < m_cut_until && a != b && (a == m_cut_off || b == m_cut_off);
    }

    void deliver()
    {
        while (!m_queue.empty() && m_queue.top().at <= m_now) {
            auto next = m_queue.top();
            m_queue.pop();
            auto& p = m_processes[next.to];
            if (m_now < p.stalled_until) {
                next.at = p.stalled_until;
                m_queue.push(next);
            }
            else if (!is_cut(next.from, next.to)) {
                handle(next.to, next.message);
            }
        }
    }

    void handle(int at, const quota_message& message)
    {
        auto& p = m_processes[at];
        const auto now = p.local(m_now);
        node_effects effects;
        if (const auto* lent = std::get_if<lend>(&message)) {
            p.node->on_lend(*lent, now, effects);
        }
        else if (const auto* recalled = std::get_if<recall>(&message)) {
            p.node->on_recall(*recalled, now, effects);
        }
        else if (p.holder) {
            if (const auto* asked = std::get_if<borrow>(&message)) {
                send(at, p.holder->on_borrow(*asked, now));
            }
            else if (const auto* requested = std::get_if<transfer_request>(&message)) {
                send(at, p.holder->on_transfer_request(*requested, now));
            }
            else if (const auto* moved = std::get_if<transfer>(&message)) {
                send(at, p.holder->on_transfer(*moved, now));
            }
            else {
                send(at, p.holder->on_transfer_ack(std::get<transfer_ack>(message), now));
            }
        }
        apply(at, effects);
    }

    std::mt19937_64 m_random;
    int m_per_domain;
    workspace_quota m_quota;
    faults m_faults;
    std::vector<process> m_processes;
    std::array<domain_lease, domains> m_leases;
    std::priority_queue<delivery> m_queue;
    std::map<std::pair<int, int>, std::int64_t> m_last_delivery;
    std::vector<refund> m_refunds;
    std::map<std::uint64_t, std::int64_t> m_admitted;
    std::int64_t m_now = 0;
    std::uint64_t m_version = 1;
    std::uint64_t m_calls = 0;
    int m_cut_off = 0;
    std::int64_t m_cut_until = 0;
};

workspace_quota quota_of(int rate, int burst)
{
    return {workspace, token_rate(rate * one_token.value()), one_token * burst};
}

/// Slow reference: compares the admitted requests in every window with the bound. Returns the
/// largest excess in requests.
double largest_excess(const std::vector<std::int64_t>& times, double rate, double burst)
{
    double excess = -burst;
    for (std::size_t i = 0; i < times.size(); ++i) {
        for (std::size_t j = i; j < times.size(); ++j) {
            const auto length = static_cast<double>(times[j] - times[i]) / 1e6;
            excess = std::max(excess, static_cast<double>(j - i + 1) - rate * length - burst);
        }
    }
    return excess;
}

struct bound_case {
    std::string name;
    int schedules;
    faults f;
    std::uint64_t refund_chance;
    bool expect_violation = false;
};

class quota_bound : public testing::TestWithParam<bound_case> {};

// Guards against duplicated tokens after lost, duplicate or delayed messages, restarts of nodes and
// holders, lease hand-overs, partitions, stalls and refunds. In the last case the clocks exceed
// options.drift, which shows that the test detects a violation.
TEST_P(quota_bound, no_window_exceeds_rate_and_burst)
{
    const auto& param = GetParam();
    std::size_t admitted = 0;
    int refunds = 0;
    int violations = 0;
    for (int seed = 0; seed < param.schedules; ++seed) {
        std::mt19937_64 random(static_cast<std::uint64_t>(seed));
        const int rate = 50 + static_cast<int>(random() % 350);
        const int burst = 1 + static_cast<int>(random() % (rate * 3 / 2));
        fleet f(random(), 3, quota_of(rate, burst), param.f);
        f.refund_chance = param.refund_chance;
        int hot_node = 0;
        while (f.now() < 8'000 * ms) {
            hot_node = random() % 300 == 0 ? static_cast<int>(random() % f.nodes()) : hot_node;
            // The demand is three times the rate, half of it at one node, with pauses in which the
            // buckets fill up.
            const bool pause = (f.now() / (700 * ms)) % 3 == 2;
            for (int i = 0; i < 2 && !pause; ++i) {
                if (static_cast<int>(random() % 2'000) < 3 * rate) {
                    f.request(random() % 2 == 0 ? hot_node
                                                : static_cast<int>(random() % f.nodes()));
                }
            }
            f.run_until(f.now() + ms);
        }
        const auto times = f.admitted();
        // Every clock may run fast by options.drift.
        const auto excess = largest_excess(times, rate * 1.001, burst);
        violations += excess > 1e-3 ? 1 : 0;
        if (!param.expect_violation) {
            ASSERT_LE(excess, 1e-3) << "seed " << seed << " rate " << rate << " burst " << burst;
        }
        admitted += times.size();
        refunds += f.refunds;
    }
    EXPECT_GT(admitted, 0U);
    EXPECT_EQ(violations > 0, param.expect_violation);
    EXPECT_EQ(refunds > 0, param.refund_chance > 0);
    RecordProperty("admitted", static_cast<int>(admitted));
}

INSTANTIATE_TEST_SUITE_P(
    seeded, quota_bound,
    testing::Values(bound_case{"no_faults", 40, {}, 0}, bound_case{"refunds", 60, {}, 30},
                    bound_case{"messages", 100, {10, 10, 3, 0, 0, 0, 0, 0.001}, 0},
                    bound_case{"restarts", 100, {2, 2, 1, 300, 300, 0, 0, 0.001}, 10},
                    bound_case{"all", 200, {5, 5, 2, 200, 200, 300, 200, 0.001}, 20},
                    bound_case{"bad_clocks", 20, {5, 5, 2, 200, 200, 300, 200, 0.3}, 0, true}),
    [](const auto& param) { return param.param.name; });

enum class arrival { one_node, moving, all_nodes, bursts_at_one_node };

struct fault_free_case {
    std::string name;
    int rate;
    int burst;
    arrival pattern;
};

class quota_without_faults : public testing::TestWithParam<fault_free_case> {};

// Guards against refusing a request that a single token bucket for the whole fleet would admit.
TEST_P(quota_without_faults, admits_all_within_rate_and_burst)
{
    const auto& param = GetParam();
    fleet f(7, 3, quota_of(param.rate, param.burst), {});
    std::mt19937_64 random(1);
    double level = param.burst;
    int sent = 0;
    f.run_until(5'000 * ms + 1'000 * ms * param.burst / param.rate);
    const auto start = f.now();
    while (f.now() < start + 10'000 * ms) {
        const auto passed = (f.now() - start) / ms;
        level = std::min(level + param.rate / 1e3, static_cast<double>(param.burst));
        const bool bursts = param.pattern == arrival::bursts_at_one_node;
        const auto wanted =
            bursts ? (passed % 2'500 == 0 ? param.burst : 0)
                   : static_cast<int>(random() % 1'000 < static_cast<std::uint64_t>(param.rate));
        for (int i = 0; i < wanted && level >= 1; ++i) {
            level -= 1;
            ++sent;
            int at = 1;
            if (param.pattern == arrival::moving) {
                at = static_cast<int>(passed / 150) % f.nodes();
            }
            else if (param.pattern == arrival::all_nodes) {
                at = static_cast<int>(random() % f.nodes());
            }
            f.request(at);
        }
        f.run_until(f.now() + ms);
    }
    f.run_until(f.now() + 500 * ms);
    EXPECT_EQ(f.refused, 0) << "of " << sent;
    EXPECT_GT(sent, param.rate);
    RecordProperty("messages", f.messages);
    RecordProperty("requests", sent);
}

INSTANTIATE_TEST_SUITE_P(
    table, quota_without_faults,
    testing::Values(fault_free_case{"one_node", 300, 300, arrival::one_node},
                    fault_free_case{"one_node_small_burst", 300, 60, arrival::one_node},
                    fault_free_case{"one_node_slow", 5, 5, arrival::one_node},
                    fault_free_case{"moving", 300, 300, arrival::moving},
                    fault_free_case{"all_nodes", 300, 300, arrival::all_nodes},
                    fault_free_case{"all_nodes_slow", 20, 20, arrival::all_nodes},
                    fault_free_case{"bursts", 300, 300, arrival::bursts_at_one_node},
                    fault_free_case{"large_bursts", 300, 700, arrival::bursts_at_one_node},
                    fault_free_case{"burst_of_one", 2, 1, arrival::one_node}),
    [](const auto& param) { return param.param.name; });

} // namespace
} // namespace damaskladder::quota
