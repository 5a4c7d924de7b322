#pragma once

#include "node/model_backend_server.hpp"
#include "node/model_options.hpp"
#include "node/model_request.hpp"
#include "node/traffic_machine.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace damaskladder::node {

/// For tests: a discrete-event simulation of one entry node with gatekeepers and backend servers.
/// Messages are never lost, and all backend servers stay announced.
class traffic_model {
public:
    explicit traffic_model(model_options options)
        : m_options(std::move(options)), m_random(m_options.seed)
    {
        build();
    }

    /// Runs the simulation and returns all requests.
    const std::vector<model_request>& run()
    {
        for (std::size_t sender = 0; sender < m_options.senders.size(); ++sender) {
            schedule_arrival(sender);
        }
        for (std::size_t node = 0; node < m_nodes.size(); ++node) {
            after(tick_interval, [this, node] { tick_node(node); });
        }
        while (!m_actions.empty() && m_actions.top().at <= end_of_model()) {
            auto next = std::move(const_cast<action&>(m_actions.top()));
            m_actions.pop();
            m_now = next.at;
            next.run();
        }
        return m_requests;
    }

private:
    static constexpr base::duration tick_interval = std::chrono::milliseconds(10);

    struct action {
        base::time_point at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const action& other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    /// Who waits for the response of an exchange.
    struct origin {
        enum class kind { client, transfer, job } from = kind::client;
        std::size_t node = 0;
        std::uint64_t id = 0;
    };

    /// Target of a transfer: an exchange at another node or a job of the local backend server.
    struct target {
        bool to_node = false;
        std::size_t node = 0;
        std::uint64_t id = 0;
    };

    struct job {
        transfer_id transfer;
        exchange_id onward;
        call_context context;
    };

    struct model_node {
        std::unique_ptr<traffic_machine> machine;
        std::unique_ptr<model_backend_server> server;
        node_view view;
        bool is_front = false;
        std::map<transfer_id, target> transfers;
        std::map<std::uint64_t, job> jobs;
    };

    base::time_point end_of_model() const
    {
        return base::time_point(m_options.length + m_options.timeout * m_options.client_attempts);
    }

    void after(base::duration delay, std::function<void()> run)
    {
        m_actions.push({m_now + delay, ++m_order, std::move(run)});
    }

    void build()
    {
        m_deep.route = base::route_id("deep");
        m_deep.service = base::service_id("deep");
        m_deep.timeout = m_options.timeout;
        m_deep.importance = base::importance::critical;
        m_front = m_deep;
        m_front.service = base::service_id("front");
        const int fronts = m_options.two_levels ? m_options.servers : 0;
        for (int n = 0; n < 1 + m_options.servers + fronts; ++n) {
            add_node(n);
        }
        std::vector<service_entry> services;
        services.push_back({m_deep.service, servers_from(1)});
        services.push_back({m_front.service, servers_from(1 + m_options.servers)});
        for (auto& node : m_nodes) {
            node.view.services = services;
        }
    }

    void add_node(int number)
    {
        const auto index = static_cast<std::size_t>(number);
        model_node node;
        traffic_options options;
        options.random = [random = std::mt19937_64(m_options.seed * 1'000 + index)]() mutable {
            return random();
        };
        options.pass_through = m_options.pass_through;
        node.machine = std::make_unique<traffic_machine>(options);
        node.is_front = number > m_options.servers;
        const int slots = node.is_front ? m_options.front_slots : m_options.slots;
        const int announced = node.is_front ? m_options.front_slots : m_options.announced_slots;
        node.server = std::make_unique<model_backend_server>(
            slots, [this, index](std::uint64_t id) { start_job(index, id); });
        node.view.self = base::node_id(std::to_string(number));
        node.view.own_domain = base::failure_domain_id("d");
        node.view.settings_version = base::settings_version(1);
        node.view.settings_confirmed_at = end_of_model();
        node.view.match_route = [this](std::string_view path, std::string_view) {
            return path == "/deep" ? &m_deep : &m_front;
        };
        node.view.find_key = [this](const base::key_hash& hash) {
            return &m_keys.at("w" + std::to_string(hash.bytes[0]));
        };
        node.view.key_active = [](const base::key_id&) { return true; };
        node.view.weight_of = [](const base::workspace_id&) { return base::share_weight(1); };
        if (number > 0) {
            node.view.local.push_back({node.is_front ? m_front.service : m_deep.service,
                                       base::slot_count(announced), false, false,
                                       std::chrono::seconds(10)});
        }
        m_nodes.push_back(std::move(node));
    }

    std::vector<routing::backend_server> servers_from(int first) const
    {
        std::vector<routing::backend_server> servers;
        for (int n = first; n < first + m_options.servers && n < static_cast<int>(m_nodes.size());
             ++n) {
            servers.push_back({base::node_id(std::to_string(n)), base::incarnation(1),
                               base::failure_domain_id("d"),
                               base::slot_count(m_options.announced_slots), base::slot_count(0),
                               false});
        }
        return servers;
    }

    void schedule_arrival(std::size_t sender)
    {
        std::exponential_distribution<double> gap(m_options.senders[sender].per_second / 1e6);
        after(base::duration(1 + static_cast<std::int64_t>(gap(m_random))), [this, sender] {
            if (m_now < base::time_point(m_options.length)) {
                arrive(sender);
                schedule_arrival(sender);
            }
        });
    }

    void arrive(std::size_t sender)
    {
        const std::string name = "w" + std::to_string(sender);
        m_keys.try_emplace(name, key_entry{base::key_id(name), base::workspace_id(name), true});
        m_requests.push_back({sender, m_now, 0, m_now, false});
        send(m_requests.size() - 1);
    }

    void send(std::size_t id)
    {
        model_request& sent = m_requests[id];
        ++sent.attempts;
        sent.attempt_at = m_now;
        request_arrived request;
        request.exchange = new_exchange({origin::kind::client, 0, id});
        request.path = m_options.two_levels ? "/front" : "/deep";
        request.key.emplace().bytes[0] = static_cast<std::uint8_t>(sent.sender);
        request.constraints.importance = m_options.senders[sent.sender].importance;
        request.body_can_be_resent = true;
        handle(0, request);
    }

    exchange_id new_exchange(origin from)
    {
        const exchange_id exchange(++m_last_exchange);
        m_origins[exchange] = from;
        return exchange;
    }

    void tick_node(std::size_t node)
    {
        handle(node, tick{});
        after(tick_interval, [this, node] { tick_node(node); });
    }

    void handle(std::size_t node, const event& input)
    {
        std::vector<effect> out;
        m_nodes[node].machine->handle(input, m_nodes[node].view, m_now, out);
        for (const auto& wanted : out) {
            std::visit([&](const auto& one) { perform(node, one); }, wanted);
        }
    }

    void perform(std::size_t node, const request_token& wanted)
    {
        const exchange_id exchange = wanted.exchange;
        after({}, [this, node, exchange] {
            handle(node, token_granted{exchange, token_grant_id(exchange.value())});
        });
    }

    void perform(std::size_t node, const forward_to_gatekeeper& wanted)
    {
        const auto peer = static_cast<std::size_t>(std::stoul(wanted.gatekeeper.value()));
        const auto exchange = new_exchange({origin::kind::transfer, node, wanted.transfer.value()});
        m_nodes[node].transfers[wanted.transfer] = {true, peer, exchange.value()};
        call_arrived call;
        call.exchange = exchange;
        call.service = wanted.service;
        call.context = wanted.context;
        after({}, [this, node, transfer = wanted.transfer] {
            handle(node, transfer_connected{transfer});
        });
        after(m_options.one_way_delay, [this, peer, call] { handle(peer, call); });
    }

    void perform(std::size_t node, const start_at_backend_server& wanted)
    {
        const auto id = ++m_last_job;
        m_nodes[node].transfers[wanted.transfer] = {false, node, id};
        m_nodes[node].jobs[id] = {wanted.transfer, exchange_id(), wanted.context};
        after({}, [this, node, transfer = wanted.transfer] {
            handle(node, transfer_connected{transfer});
        });
        m_nodes[node].server->add(id);
    }

    void start_job(std::size_t node, std::uint64_t id)
    {
        const bool is_front = m_nodes[node].is_front;
        const auto mean = is_front ? m_options.front_time : m_options.service_time;
        const bool slow = !is_front && m_now >= base::time_point(m_options.slow_from) &&
                          m_now < base::time_point(m_options.slow_until);
        std::gamma_distribution<double> time(4.0, static_cast<double>(mean.count()) / 4.0);
        const double took = time(m_random) * (slow ? m_options.slow_factor : 1.0);
        after(base::duration(static_cast<std::int64_t>(took)), [this, node, id, is_front] {
            if (!m_nodes[node].server->runs(id)) {
                return;
            }
            if (is_front) {
                call_onward(node, id);
            }
            else {
                end_job(node, id, response_class::served);
            }
        });
    }

    void call_onward(std::size_t node, std::uint64_t id)
    {
        onward_call_arrived onward;
        onward.exchange = new_exchange({origin::kind::job, node, id});
        onward.path = "/deep";
        onward.parent = m_nodes[node].jobs[id].context;
        onward.body_can_be_resent = true;
        m_nodes[node].jobs[id].onward = onward.exchange;
        handle(node, onward);
    }

    void end_job(std::size_t node, std::uint64_t id, response_class response)
    {
        auto found = m_nodes[node].jobs.find(id);
        if (found == m_nodes[node].jobs.end()) {
            return;
        }
        const transfer_id transfer = found->second.transfer;
        m_nodes[node].jobs.erase(found);
        m_nodes[node].server->remove(id);
        relay(node, response_started{transfer, response, {}, {}});
    }

    void perform(std::size_t node, const relay_response& wanted)
    {
        const origin from = m_origins[wanted.exchange];
        const response_class response = m_current_response;
        if (from.from == origin::kind::client) {
            end_client(from.id, response == response_class::served);
        }
        else if (from.from == origin::kind::job) {
            after({}, [this, node, from, response] { end_job(node, from.id, response); });
        }
        else {
            const response_started started{transfer_id(from.id), response, wanted.allowance_left,
                                           wanted.shed};
            after(m_options.one_way_delay, [this, from, started] { relay(from.node, started); });
        }
    }

    /// Delivers the start and the end of a response at once.
    void relay(std::size_t node, const response_started& started)
    {
        m_current_response = started.response;
        handle(node, started);
        handle(node, response_finished{started.transfer, nullptr});
    }

    void end_client(std::uint64_t id, bool ok)
    {
        model_request& request = m_requests[id];
        request.answered = ok && m_now - request.attempt_at <= m_options.timeout;
        if (!request.answered && request.attempts < m_options.client_attempts) {
            after(m_options.client_pause, [this, id] { send(id); });
        }
    }

    void perform(std::size_t /*node*/, const refuse& wanted)
    {
        const origin from = m_origins[wanted.exchange];
        if (from.from == origin::kind::client) {
            end_client(from.id, false);
        }
        else if (from.from == origin::kind::job) {
            after({}, [this, from] { end_job(from.node, from.id, response_class::failed); });
        }
        else {
            const gatekeeper_refused refused{transfer_id(from.id), wanted.reported_outcome,
                                             wanted.reason, wanted.allowance_left, wanted.shed};
            after(m_options.one_way_delay, [this, from, refused] { handle(from.node, refused); });
        }
    }

    void perform(std::size_t node, const cancel_transfer& wanted)
    {
        const target to = m_nodes[node].transfers[wanted.transfer];
        if (to.to_node) {
            after(m_options.one_way_delay,
                  [this, to] { handle(to.node, caller_disconnected{exchange_id(to.id)}); });
            return;
        }
        auto found = m_nodes[node].jobs.find(to.id);
        if (found != m_nodes[node].jobs.end()) {
            const exchange_id onward = found->second.onward;
            m_nodes[node].jobs.erase(found);
            m_nodes[node].server->remove(to.id);
            after({}, [this, node, onward] { handle(node, caller_disconnected{onward}); });
        }
    }

    void perform(std::size_t /*node*/, const abort_response& wanted)
    {
        const origin from = m_origins[wanted.exchange];
        if (from.from == origin::kind::client) {
            end_client(from.id, false);
        }
    }

    template <class Other>
    void perform(std::size_t /*node*/, const Other& /*wanted*/)
    {
    }

    model_options m_options;
    std::mt19937_64 m_random;
    route_entry m_front;
    route_entry m_deep;
    std::map<std::string, key_entry> m_keys;
    std::vector<model_node> m_nodes;
    std::priority_queue<action> m_actions;
    std::uint64_t m_order = 0;
    base::time_point m_now;
    std::uint64_t m_last_exchange = 0;
    std::uint64_t m_last_job = 0;
    std::unordered_map<exchange_id, origin> m_origins;
    /// Class of the response that is being delivered.
    response_class m_current_response = response_class::served;
    std::vector<model_request> m_requests;
};

} // namespace damaskladder::node
