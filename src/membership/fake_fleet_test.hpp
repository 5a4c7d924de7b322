#pragma once

#include "membership/membership_node.hpp"
#include "membership/message_size.hpp"

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

namespace damaskladder::membership {

using namespace std::chrono_literals;

inline base::node_id node_name(std::size_t index)
{
    std::string digits = std::to_string(index);
    digits.insert(0, 4 - std::min<std::size_t>(4, digits.size()), '0');
    return base::node_id("n" + digits);
}

/// Nodes connected by an in-memory network that can drop, delay, duplicate and block messages. Time
/// is simulated; each node ticks with its own phase.
class fake_fleet {
public:
    struct faults {
        double loss_rate = 0;
        double duplicate_rate = 0;
        base::duration min_delay = 1ms;
        base::duration max_delay = 2ms;
        /// Returns true if all messages from the first to the second node are lost.
        std::function<bool(const base::node_id&, const base::node_id&)> cut;
    };

    /// Totals of the messages that one node sent or received.
    struct traffic {
        std::uint64_t messages = 0;
        std::int64_t bytes = 0;
    };

    explicit fake_fleet(std::uint64_t seed) : m_random(seed) {}

    faults net;
    membership_options options;
    std::uint64_t messages = 0;
    std::uint64_t summaries = 0;
    std::int64_t bytes = 0;
    std::map<base::node_id, traffic> sent;
    std::map<base::node_id, traffic> received;
    base::time_point now{};
    std::map<base::node_id, std::vector<run_ending>> recovered_endings;

    membership_node& start(const base::node_id& name, const std::string& domain,
                           std::uint64_t incarnation)
    {
        slot& target = m_slots[name];
        target.identity = {name, base::failure_domain_id(domain), base::incarnation(incarnation),
                           base::message_address(name.value() + ":1"),
                           base::traffic_address(name.value() + ":2")};
        const std::uint64_t seed = m_random();
        auto generator = std::make_shared<std::mt19937_64>(seed);
        target.node = std::make_unique<membership_node>(target.identity, options,
                                                        [generator] { return (*generator)(); });
        target.up = true;
        target.stalled_until = {};
        ++target.run;
        perform(name, target.node->start(now));
        push_tick(name, base::duration(static_cast<std::int64_t>(m_random() % 100'000)));
        return *target.node;
    }

    /// Stops the process without a notification to other nodes.
    void kill(const base::node_id& name) { m_slots.at(name).up = false; }

    void stall(const base::node_id& name, base::duration time)
    {
        m_slots.at(name).stalled_until = now + time;
    }

    membership_node& at(const base::node_id& name) { return *m_slots.at(name).node; }
    bool running(const base::node_id& name) const { return m_slots.at(name).up; }

    std::vector<base::node_id> names() const
    {
        std::vector<base::node_id> all;
        for (const auto& item : m_slots) {
            all.push_back(item.first);
        }
        return all;
    }

    void announce(const base::node_id& name, const std::string& service, bool draining = false)
    {
        backend_server backend{base::service_id(service),
                               base::port_number(9000),
                               base::slot_count(40),
                               connection_count(330),
                               false,
                               draining};
        perform(name, at(name).set_backends({backend}, now));
    }

    /// Subscribes to the given services of other failure domains, or to all if none is given.
    void set_subscription(const base::node_id& name, const std::set<std::string>& services)
    {
        service_subscription subscription;
        subscription.all = services.empty();
        for (const std::string& service : services) {
            subscription.services.emplace(service);
        }
        perform(name, at(name).set_subscription(subscription, now));
    }

    void perform(const base::node_id& from, effects result)
    {
        auto& recovered = recovered_endings[from];
        recovered.insert(recovered.end(), result.recovered_endings.begin(),
                         result.recovered_endings.end());
        for (send& item : result.sends) {
            const std::string& address = item.to.address.value();
            const base::node_id to(address.substr(0, address.find(':')));
            const std::int64_t size = encoded_size(item.body).value();
            ++messages;
            summaries += std::holds_alternative<domain_summary>(item.body) ? 1 : 0;
            bytes += size;
            for (traffic* totals : {&sent[from], &received[to]}) {
                ++totals->messages;
                totals->bytes += size;
            }
            deliver(from, to, std::move(item.body));
        }
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

    /// Runs in steps of 20 ms until the condition holds or the limit is reached. Returns the
    /// elapsed time.
    base::duration run_until(const std::function<bool()>& condition, base::duration limit)
    {
        const base::time_point begin = now;
        while (!condition() && now - begin < limit) {
            run(20ms);
        }
        return now - begin;
    }

private:
    struct slot {
        node_identity identity;
        std::unique_ptr<membership_node> node;
        bool up = false;
        base::time_point stalled_until{};
        std::uint64_t run = 0;
    };
    struct event {
        base::time_point at;
        std::uint64_t order = 0;
        base::node_id to;
        base::node_id from;
        /// Null for a tick.
        std::shared_ptr<const message> body;
        std::uint64_t run = 0;

        friend bool operator<(const event& a, const event& b)
        {
            return std::pair(a.at, a.order) > std::pair(b.at, b.order);
        }
    };

    double random_fraction() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    void deliver(const base::node_id& from, const base::node_id& to, message body)
    {
        if (m_slots.count(to) == 0 || (net.cut && net.cut(from, to))) {
            return;
        }
        auto shared = std::make_shared<const message>(std::move(body));
        const int copies = net.duplicate_rate > 0 && random_fraction() < net.duplicate_rate ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (net.loss_rate > 0 && random_fraction() < net.loss_rate) {
                continue;
            }
            const auto spread = static_cast<std::uint64_t>((net.max_delay - net.min_delay).count());
            const base::duration delay =
                net.min_delay +
                base::duration(static_cast<std::int64_t>(m_random() % (spread + 1)));
            m_events.push({now + delay, ++m_order, to, from, shared, 0});
        }
    }

    void push_tick(const base::node_id& name, base::duration wait)
    {
        m_events.push({now + wait, ++m_order, name, {}, nullptr, m_slots.at(name).run});
    }

    void execute(event& next)
    {
        slot& target = m_slots.at(next.to);
        const bool other_run = next.body == nullptr && next.run != target.run;
        if (!target.up || other_run) {
            return;
        }
        if (now < target.stalled_until) {
            next.at = target.stalled_until;
            m_events.push(next);
            return;
        }
        if (next.body != nullptr) {
            perform(next.to, target.node->receive(next.from, *next.body, now));
            return;
        }
        perform(next.to, target.node->tick(now));
        push_tick(next.to, options.tick_interval);
    }

    std::mt19937_64 m_random;
    std::map<base::node_id, slot> m_slots;
    std::priority_queue<event> m_events;
    std::uint64_t m_order = 0;
};

/// True if, in the table of every running node, exactly the running nodes of its failure domain are
/// alive, each with the record that it last published.
inline bool agreed(fake_fleet& fleet)
{
    const std::vector<base::node_id> names = fleet.names();
    for (const base::node_id& observer : names) {
        if (!fleet.running(observer)) {
            continue;
        }
        const member_table& table = fleet.at(observer).members();
        std::size_t running = 0;
        for (const base::node_id& name : names) {
            if (!fleet.running(name) ||
                fleet.at(name).self().domain != fleet.at(observer).self().domain) {
                continue;
            }
            ++running;
            const member_record* record = table.find_alive(name);
            if (record == nullptr || *record != fleet.at(name).self()) {
                return false;
            }
        }
        if (table.alive_count() != running) {
            return false;
        }
    }
    return true;
}

/// Starts `count` nodes of one failure domain, with the first three as seeds.
inline void start_domain(fake_fleet& fleet, std::size_t count, const std::string& domain = "d1",
                         std::size_t first = 0)
{
    for (std::size_t index = first; index < first + std::min<std::size_t>(count, 3); ++index) {
        fleet.options.seeds.emplace_back(node_name(index).value() + ":1");
    }
    for (std::size_t index = first; index < first + count; ++index) {
        fleet.start(node_name(index), domain, 100);
    }
}

} // namespace damaskladder::membership
