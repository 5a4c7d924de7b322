#include "daemon/traffic_thread.hpp"

#include "daemon/log.hpp"
#include "daemon/pressure_metrics.hpp"
#include "daemon/secure_random.hpp"
#include "daemon/shedding_log.hpp"

namespace damaskladder::daemon {

namespace {

node::traffic_options make_options(const node_settings& settings)
{
    node::traffic_options options;
    options.random = secure_random();
    if (settings.retry_budget > 0) {
        // A retry at a high level of a call tree repeats all calls below it, and each level may add
        // its own retries, so each level gets an equal part of the ratio allowed at a service.
        constexpr double assumed_call_levels = 5;
        // Retries per second of one node. The sum over about a hundred nodes stays within a slack
        // of a few tens.
        constexpr double floor = 0.2;
        options.retry_ratio = settings.retry_budget / assumed_call_levels;
        options.min_retries_per_second = floor;
    }
    options.guard_processor = settings.guard_processor;
    options.admit_by_call_tree = settings.admit_by_call_tree;
    options.on_shedding = shedding_log();
    options.placement.by_completion = settings.place_by_completion;
    options.placement.spill.crossing_cost = settings.crossing_cost;
    if (settings.exact_slots) {
        // Many backend servers slow down for all requests when 0.95 or more of the slots are used.
        // This factor stays below that, also with few slots.
        constexpr double usable_slots_factor = 0.945;
        auto& admission = options.admission;
        admission.limit.min_factor = usable_slots_factor;
        admission.limit.max_factor = usable_slots_factor;
        admission.limit.cold_factor = usable_slots_factor;
        admission.max_open_fraction = 1;
    }
    return options;
}

http::server_limits make_limits(const node_settings& settings)
{
    http::server_limits limits;
    limits.max_connections = settings.connections;
    limits.requests_ahead = settings.requests_ahead;
    return limits;
}

void log_crossing(const node::leaving_service& service, bool upward)
{
    log(log_level::info, upward ? "domain_leaving" : "domain_staying",
        {{"service", service.service.value()},
         {"part", std::to_string(service.part)},
         {"own_slowdown", std::to_string(service.own_slowdown)},
         {"others_slowdown", std::to_string(service.others_slowdown)}});
}

base::service_id own_service(const node_settings& settings)
{
    return settings.services.empty() ? base::service_id() : settings.services.front();
}

void log_evacuation(const base::failure_domain_id& domain, bool evacuated, std::size_t running)
{
    log(log_level::info, evacuated ? "evacuation_started" : "evacuation_ended",
        {{"domain", domain.value()}, {"running", std::to_string(running)}});
}

} // namespace

traffic_thread::traffic_thread(const wire::cluster_secret& secret, base::node_id self,
                               base::incarnation incarnation, const node_settings& settings,
                               const dialect& http_dialect, control_requests requests)
    : m_requests(std::move(requests)),
      m_machine(make_options(settings)),
      m_evacuations(log_evacuation),
      m_leaving([this] { return m_machine.leaving_services(); }, log_crossing),
      m_quota(std::move(self), incarnation,
              {.deliver = [this](const node::event& event) { m_frontend.deliver(event); },
               .send = m_requests.send_quota}),
      m_local({.read_call = http_dialect.read_local_call,
               .announce = m_requests.announce,
               .ready = [this] { return m_ready.load() && m_frontend.settings_known(); },
               .metrics =
                   [this, places = settings.place_by_completion] {
                       return m_frontend.metrics_text() + m_evacuations.metrics() +
                              (places ? m_leaving.metrics() : std::string()) +
                              pressure_text(m_machine.highest_pressures(max_shown_routes,
                                                                        http::event_loop::now())) +
                              m_requests.control_metrics();
                   }}),
      m_frontend(
          m_loop, secret, incarnation, make_limits(settings), http_dialect,
          {.handle = [this](const auto& event, const auto& view, auto now,
                            auto& effects) { m_machine.handle(event, view, now, effects); },
           .next_deadline = [this] { return m_machine.next_deadline(); }},
          {.acquire_token =
               [this](const auto& wanted) { m_quota.acquire(wanted, http::event_loop::now()); },
           .refund_token =
               [this](const auto& wanted) { m_quota.refund(wanted, http::event_loop::now()); },
           .exchange_ended = [this](auto id) { m_quota.exchange_ended(id); },
           .acquire_claim = m_requests.acquire_claim,
           .release_claim = m_requests.release_claim,
           .complete_claim = m_requests.complete_claim,
           .backend_leaving = m_requests.drain_run,
           .own_service = [service = own_service(settings)] { return service; },
           .local_api = [this](const auto& exchange) { m_local.serve(exchange); }}),
      m_addresses(settings.listen)
{
    m_loop.each_round([this](base::time_point now) { return m_quota.round(now); });
    if (settings.place_by_completion) {
        m_loop.each_round([this](base::time_point now) { return m_leaving.round(now); });
    }
    m_loop.observe_waits([this](base::duration busy, base::duration waited, base::time_point now) {
        m_machine.observed_wait(busy, waited, now);
    });
}

traffic_thread::~traffic_thread()
{
    end();
}

base::result<void> traffic_thread::start(std::shared_ptr<const traffic_view> view)
{
    m_evacuations.update(view->evacuated, 0);
    m_frontend.set_view(std::move(view));
    BOOST_LEAF_CHECK(m_frontend.listen(m_addresses));
    m_ready = true;
    m_thread = std::thread([this] { m_loop.run(); });
    return {};
}

void traffic_thread::post(std::function<void(traffic_frontend&, traffic_quota&)> call)
{
    m_loop.post([this, call = std::move(call)] { call(m_frontend, m_quota); });
}

void traffic_thread::publish(std::shared_ptr<const traffic_view> view)
{
    m_loop.post([this, view = std::move(view)] {
        m_frontend.set_view(view);
        // Lets requests that wait for a backend server that is now leaving move to another one
        // immediately.
        m_frontend.deliver(node::tick{});
        // After the tick, which refuses the calls that are queued at an evacuated server.
        m_evacuations.update(view->evacuated, m_machine.running_at_gatekeeper());
    });
}

void traffic_thread::prepare_stop()
{
    m_ready = false;
    m_loop.post([this] { m_frontend.prepare_stop(); });
}

void traffic_thread::leave()
{
    m_loop.post([this] { m_frontend.leave(); });
}

void traffic_thread::stop_accepting(base::time_point end)
{
    m_loop.post([this, end] { m_frontend.stop_accepting(end); });
}

void traffic_thread::stop(std::function<void()> done)
{
    m_ready = false;
    m_loop.post([this, done = std::move(done)] {
        m_frontend.stop();
        m_loop.each_round([this, done, quota_stopped = false, notified = false](
                              base::time_point now) mutable -> std::optional<base::time_point> {
            if (!quota_stopped && m_frontend.idle()) {
                quota_stopped = true;
                m_quota.stop(now);
            }
            if (!notified && m_frontend.stopped()) {
                notified = true;
                done();
            }
            return std::nullopt;
        });
    });
}

std::size_t traffic_thread::end()
{
    if (!m_thread.joinable()) {
        return 0;
    }
    m_loop.stop();
    m_thread.join();
    return m_frontend.running();
}

} // namespace damaskladder::daemon
