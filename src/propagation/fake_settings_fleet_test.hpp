#pragma once

#include "propagation/propagation_relay.hpp"
#include "propagation/propagation_source.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace damaskladder::propagation {

using namespace std::chrono_literals;

/// Sources, relays and nodes on a simulated network that drops, delays and duplicates messages and
/// cuts sources off from their quorum. Time is simulated; each process reads it through a clock
/// with its own offset and rate. Checks that no version is reverted, and after each event at a node
/// that its staleness is not under-reported.
class fake_settings_fleet {
public:
    explicit fake_settings_fleet(std::uint64_t seed) : m_random(seed) {}

    double loss = 0;
    double duplication = 0;
    base::duration min_delay = 1ms;
    base::duration max_delay = 2ms;
    /// Largest error of a clock rate, as a fraction.
    double drift = 0;
    std::size_t copy_size = 100'000;
    std::size_t difference_size = 300;
    std::set<std::string> partitioned;
    /// Pairs of processes whose messages are lost, in both directions.
    std::set<std::pair<std::string, std::string>> cut_links;
    base::time_point now{};
    std::int64_t bytes = 0;
    std::uint64_t messages = 0;
    std::vector<std::string> violations;

    void add_source(const std::string& name)
    {
        process& added = add(name, "control");
        added.is_source = true;
        restart(name);
    }

    void add_node(const std::string& name, const std::string& domain,
                  const std::vector<std::string>& upstreams)
    {
        process& added = add(name, domain);
        for (const std::string& upstream : upstreams) {
            added.upstreams.push_back(peer_of(upstream));
        }
        restart(name);
    }

    /// Restarts a process without its settings; a source restores the accepted changes.
    void restart(const std::string& name)
    {
        process& one = m_processes.at(name);
        one.relay.reset();
        one.source.reset();
        one.version = 0;
        ++one.run;
        const auto generator = std::make_shared<std::mt19937_64>(m_random());
        const auto copy = [this, &one] { return copy_of(one.version); };
        if (one.is_source) {
            one.source = std::make_unique<propagation_source>(one.options, copy);
            one.version = accepted();
            perform(name, one.source->version_applied(base::settings_version(one.version),
                                                      std::nullopt, clock(one)));
        }
        else {
            one.relay = std::make_unique<propagation_relay>(
                one.options,
                settings_hooks{
                    [this, &one](const auto& change) { return apply(one, change); },
                    [this, &one](const auto& full_copy) { return replace(one, full_copy); }, copy},
                [generator] { return (*generator)(); });
            one.relay->node().set_upstreams({one.upstreams});
        }
        m_events.push({now + 1ms * (m_random() % 100), ++m_sequence, name, {}, nullptr, one.run});
    }

    void stall(const std::string& name, base::duration time)
    {
        m_processes.at(name).stalled_until = now + time;
    }

    /// Accepts a change now; every source that is not cut off applies it within 80 ms.
    void accept()
    {
        m_accepted.push_back(now);
        for (auto& [name, one] : m_processes) {
            if (one.is_source) {
                m_events.push({now + 1ms * (m_random() % 80), ++m_sequence, name,
                               [this](const std::string& at) { catch_up(at, accepted()); }, nullptr,
                               one.run});
            }
        }
    }

    std::uint64_t accepted() const { return m_accepted.size(); }
    std::uint64_t version(const std::string& name) const { return m_processes.at(name).version; }
    propagation_relay& relay(const std::string& name) { return *m_processes.at(name).relay; }
    propagation_source& source(const std::string& name) { return *m_processes.at(name).source; }
    std::optional<base::duration> staleness(const std::string& name) const
    {
        const process& one = m_processes.at(name);
        return one.relay->node().staleness(clock(one));
    }

    std::vector<std::string> nodes() const
    {
        std::vector<std::string> found;
        for (const auto& [name, one] : m_processes) {
            if (!one.is_source) {
                found.push_back(name);
            }
        }
        return found;
    }

    /// Number of nodes that have not applied the latest version.
    std::size_t outdated_nodes() const
    {
        std::size_t count = 0;
        for (const auto& [name, one] : m_processes) {
            count += !one.is_source && one.version < accepted() ? 1 : 0;
        }
        return count;
    }

    void run(base::duration time)
    {
        const base::time_point end = now + time;
        while (!m_events.empty() && m_events.top().at <= end) {
            event next = m_events.top();
            m_events.pop();
            now = std::max(now, next.at);
            execute(next);
        }
        now = end;
    }

    base::duration run_until(const std::function<bool()>& condition, base::duration limit)
    {
        const base::time_point begin = now;
        while (!condition() && now - begin < limit) {
            run(10ms);
        }
        return now - begin;
    }

private:
    struct process {
        propagation_options options;
        bool is_source = false;
        std::vector<peer> upstreams;
        std::unique_ptr<propagation_source> source;
        std::unique_ptr<propagation_relay> relay;
        std::uint64_t version = 0;
        std::uint64_t run = 0;
        double rate = 1;
        base::duration offset{};
        base::time_point stalled_until{};
    };
    struct event {
        base::time_point at;
        std::uint64_t order = 0;
        std::string to;
        /// Absent for a tick.
        std::function<void(const std::string&)> act;
        std::shared_ptr<const message> body;
        std::uint64_t run = 0;

        friend bool operator<(const event& a, const event& b)
        {
            return std::pair(a.at, a.order) > std::pair(b.at, b.order);
        }
    };

    static peer peer_of(const std::string& name)
    {
        return {base::node_id(name), base::message_address(name)};
    }

    process& add(const std::string& name, const std::string& domain)
    {
        process& added = m_processes[name];
        added.options.self = peer_of(name);
        added.options.domain = base::failure_domain_id(domain);
        added.rate = 1 + drift * (2 * random_fraction() - 1);
        added.offset = 1s * (m_random() % 100'000);
        return added;
    }

    base::time_point clock(const process& one) const
    {
        const auto elapsed = static_cast<double>(now.time_since_epoch().count());
        return base::time_point(one.offset +
                                base::duration(static_cast<std::int64_t>(elapsed * one.rate)));
    }

    settings_copy copy_of(std::uint64_t version) const
    {
        std::string text = std::to_string(version) + ':';
        text.resize(copy_size, static_cast<char>('a' + version % 26));
        return {base::settings_version(version), settings_bytes(std::move(text))};
    }

    settings_difference difference_to(std::uint64_t version) const
    {
        std::string text = std::to_string(version - 1) + '>' + std::to_string(version) + ':';
        text.resize(difference_size, '.');
        return {base::settings_version(version - 1), base::settings_version(version),
                settings_bytes(std::move(text))};
    }

    void set_version(process& one, std::uint64_t version)
    {
        if (version <= one.version) {
            violations.push_back(one.options.self.node.value() + " reverted to an older version");
        }
        one.version = version;
    }

    bool apply(process& one, const settings_difference& change)
    {
        if (change != difference_to(change.to.value()) || change.from.value() != one.version) {
            violations.push_back("corrupt or out-of-sequence difference");
            return false;
        }
        set_version(one, change.to.value());
        return true;
    }

    bool replace(process& one, const settings_copy& full_copy)
    {
        if (full_copy != copy_of(full_copy.version.value())) {
            violations.push_back("corrupt copy");
            return false;
        }
        set_version(one, full_copy.version.value());
        return true;
    }

    void catch_up(const std::string& name, std::uint64_t version)
    {
        process& one = m_processes.at(name);
        while (partitioned.count(name) == 0 && one.version < version) {
            ++one.version;
            perform(name, one.source->version_applied(base::settings_version(one.version),
                                                      difference_to(one.version), clock(one)));
        }
    }

    void perform(const std::string& from, effects result)
    {
        for (send& item : result.sends) {
            ++messages;
            bytes += encoded_size(item.body);
            transmit(from, item.to.node.value(),
                     std::make_shared<const message>(std::move(item.body)));
        }
        if (result.confirm.has_value()) {
            // The quorum confirms after a delay, unless the replica is cut off from it. The
            // confirmation covers only the changes accepted before the read started.
            const read_id id = *result.confirm;
            const auto act = [this, id, accepted_at_start = accepted()](const std::string& at) {
                if (partitioned.count(at) == 0) {
                    catch_up(at, accepted_at_start);
                    process& one = m_processes.at(at);
                    perform(at, one.source->read_confirmed(id, clock(one)));
                }
            };
            m_events.push({now + 1ms * (2 + m_random() % 40), ++m_sequence, from, act, nullptr,
                           m_processes.at(from).run});
        }
    }

    /// Approximate encoded size: the payload and 40 bytes of fields, without the envelope.
    static std::int64_t encoded_size(const message& body)
    {
        std::int64_t size = 40;
        if (const auto* answer = std::get_if<update>(&body)) {
            for (const settings_difference& change : answer->differences) {
                size += static_cast<std::int64_t>(change.bytes.value().size()) + 20;
            }
        }
        if (const auto* chunk = std::get_if<copy_chunk>(&body)) {
            size += static_cast<std::int64_t>(chunk->bytes.value().size());
        }
        return size;
    }

    bool is_cut(const std::string& from, const std::string& to) const
    {
        return cut_links.count({from, to}) > 0 || cut_links.count({to, from}) > 0;
    }

    double random_fraction() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    void transmit(const std::string& from, const std::string& to,
                  const std::shared_ptr<const message>& body)
    {
        const int copies = duplication > 0 && random_fraction() < duplication ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if ((loss > 0 && random_fraction() < loss) || m_processes.count(to) == 0 ||
                is_cut(from, to)) {
                continue;
            }
            const auto spread = static_cast<std::uint64_t>((max_delay - min_delay).count());
            const base::duration delay = min_delay + 1us * (m_random() % (spread + 1));
            const auto act = [this, from, body](const std::string& at) {
                process& one = m_processes.at(at);
                perform(at, one.is_source
                                ? one.source->receive(base::node_id(from), *body, clock(one))
                                : one.relay->receive(base::node_id(from), *body, clock(one)));
            };
            m_events.push({now + delay, ++m_sequence, to, act, body, 0});
        }
    }

    void execute(event& next)
    {
        process& one = m_processes.at(next.to);
        if (next.run != 0 && next.run != one.run) {
            return;
        }
        if (now < one.stalled_until) {
            next.at = one.stalled_until;
            m_events.push(next);
            return;
        }
        if (next.act) {
            next.act(next.to);
        }
        else {
            perform(next.to,
                    one.is_source ? one.source->tick(clock(one)) : one.relay->tick(clock(one)));
            m_events.push({now + 100ms, ++m_sequence, next.to, {}, nullptr, one.run});
        }
        check(next.to, one);
    }

    void check(const std::string& name, const process& one)
    {
        if (one.is_source) {
            return;
        }
        const std::optional<base::duration> reported = one.relay->node().staleness(clock(one));
        const base::duration real =
            one.version < accepted() ? now - m_accepted[one.version] : base::duration::zero();
        if (reported.has_value() && *reported < real) {
            violations.push_back(name + " reports " + std::to_string(reported->count()) +
                                 " us of staleness, actual " + std::to_string(real.count()));
        }
    }

    std::mt19937_64 m_random;
    std::map<std::string, process> m_processes;
    std::vector<base::time_point> m_accepted;
    std::priority_queue<event> m_events;
    std::uint64_t m_sequence = 0;
};

/// Starts three sources, two relays that poll them, two more relays that poll these, and nodes that
/// poll either pair of relays.
inline void start_two_levels(fake_settings_fleet& fleet, std::size_t nodes)
{
    for (const std::string name : {"s0", "s1", "s2"}) {
        fleet.add_source(name);
    }
    fleet.add_node("r0", "d1", {"s0", "s1", "s2"});
    fleet.add_node("r1", "d1", {"s0", "s1", "s2"});
    fleet.add_node("q0", "d2", {"r0", "r1"});
    fleet.add_node("q1", "d2", {"r0", "r1"});
    for (std::size_t index = 0; index < nodes; ++index) {
        const std::string name = "n" + std::to_string(index);
        if (index % 2 == 0) {
            fleet.add_node(name, "d1", {"r0", "r1"});
        }
        else {
            fleet.add_node(name, "d2", {"q0", "q1"});
        }
    }
}

} // namespace damaskladder::propagation
