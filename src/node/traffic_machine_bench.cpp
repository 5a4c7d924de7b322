#include "node/traffic_machine.hpp"

#include <benchmark/benchmark.h>

#include <deque>
#include <random>
#include <string>

namespace damaskladder::node {
namespace {

/// A node that knows 22 announced backend servers and has a local one.
class bench_node {
public:
    bench_node() : m_machine(options())
    {
        m_route.service = base::service_id("service");
        m_route.timeout = std::chrono::seconds(1);
        m_key = {base::key_id("key"), base::workspace_id("workspace"), true};
        m_view.self = base::node_id("node-1");
        m_view.own_domain = base::failure_domain_id("domain-1");
        m_view.settings_version = base::settings_version(1);
        m_view.settings_confirmed_at = base::time_point(std::chrono::hours(1'000));
        m_view.match_route = [this](std::string_view, std::string_view) { return &m_route; };
        m_view.find_key = [this](const base::key_hash&) { return &m_key; };
        m_view.key_active = [](const base::key_id&) { return true; };
        m_view.weight_of = [](const base::workspace_id&) { return base::share_weight(1); };
        service_entry service{m_route.service, {}};
        for (int n = 0; n < 22; ++n) {
            service.servers.push_back({base::node_id("backend-node-" + std::to_string(n)),
                                       base::incarnation(1),
                                       base::failure_domain_id("domain-" + std::to_string(n % 11)),
                                       base::slot_count(40), base::slot_count(0), false});
        }
        m_view.services.push_back(service);
        m_view.local.push_back(
            {m_route.service, base::slot_count(40), false, false, std::chrono::seconds(10)});
    }

    /// Handles a request at its entry node, up to the connection to the gatekeeper.
    void arrive_at_entry()
    {
        request_arrived request;
        request.exchange = next_exchange();
        request.path = "/a/path/of/usual/length";
        request.key = base::key_hash{};
        request.body_can_be_resent = true;
        handle(request);
        handle(token_granted{request.exchange, token_grant_id(request.exchange.value())});
        forwarded = std::get<forward_to_gatekeeper>(m_effects.back());
        handle(transfer_connected{forwarded.transfer});
    }

    /// Handles the arrival of the same request at its gatekeeper.
    void arrive_at_gatekeeper()
    {
        call_arrived call;
        call.exchange = next_exchange();
        call.service = m_route.service;
        call.context = forwarded.context;
        handle(call);
    }

    void respond(transfer_id transfer)
    {
        handle(response_started{transfer, response_class::served, base::retry_count(2), {}});
        handle(response_finished{transfer, nullptr});
    }

    void advance_time(base::duration time) { m_now += time; }
    void tick_now() { handle(tick{}); }

    void handle(const event& input)
    {
        m_effects.clear();
        m_machine.handle(input, m_view, m_now, m_effects);
        for (const auto& wanted : m_effects) {
            if (const auto* start = std::get_if<start_at_backend_server>(&wanted)) {
                started.push_back(start->transfer);
            }
        }
    }

    forward_to_gatekeeper forwarded;
    std::deque<transfer_id> started;

private:
    static traffic_options options()
    {
        traffic_options result;
        result.random = [random = std::mt19937_64(3)]() mutable { return random(); };
        return result;
    }

    exchange_id next_exchange() { return exchange_id(++m_last_exchange); }

    traffic_machine m_machine;
    node_view m_view;
    route_entry m_route;
    key_entry m_key;
    base::time_point m_now;
    std::uint64_t m_last_exchange = 0;
    std::vector<effect> m_effects;
};

/// All events of one request that is answered, at the entry half and the gatekeeper half.
void BM_answered_request(benchmark::State& state)
{
    bench_node node;
    for (auto step : state) {
        static_cast<void>(step);
        node.advance_time(std::chrono::microseconds(500));
        node.arrive_at_entry();
        node.arrive_at_gatekeeper();
        const transfer_id running = node.started.back();
        node.started.clear();
        node.handle(transfer_connected{running});
        node.respond(running);
        node.respond(node.forwarded.transfer);
    }
}
BENCHMARK(BM_answered_request);

/// The same at three times the capacity: one call in three is answered; the others are queued or
/// shed, and end at the entry half too. There is a tick for each 20th request.
void BM_overloaded_request(benchmark::State& state)
{
    bench_node node;
    std::uint64_t count = 0;
    for (auto step : state) {
        static_cast<void>(step);
        node.advance_time(std::chrono::microseconds(167));
        node.arrive_at_entry();
        node.arrive_at_gatekeeper();
        if (++count % 3 == 0 && !node.started.empty()) {
            const transfer_id ended = node.started.front();
            node.started.pop_front();
            node.handle(transfer_connected{ended});
            node.respond(ended);
            node.respond(node.forwarded.transfer);
        }
        else {
            node.handle(gatekeeper_refused{node.forwarded.transfer,
                                           outcome::not_run,
                                           refusal_reason::deadline,
                                           base::retry_count(2),
                                           {}});
        }
        if (count % 20 == 0) {
            node.tick_now();
        }
    }
}
BENCHMARK(BM_overloaded_request);

} // namespace
} // namespace damaskladder::node
