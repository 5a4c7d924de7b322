#include "daemon/control_thread.hpp"

#include "daemon/log.hpp"
#include "daemon/settings_reload.hpp"

#include <csignal>

namespace damaskladder::daemon {

namespace {

// Stop limit of a process without a node.
constexpr base::duration stop_limit_without_node = std::chrono::milliseconds(500);
constexpr base::duration stop_check_interval = std::chrono::milliseconds(20);
constexpr base::duration messages_log_interval = std::chrono::seconds(15);
// An iteration of the control thread's loop that takes longer, or a timer that is later, is logged.
// Half of the time after which a silent leader is replaced.
constexpr base::duration max_control_round = std::chrono::milliseconds(200);

void warn_if_long(std::string_view event, base::duration time)
{
    if (time > max_control_round) {
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
        log(log_level::warn, event, {{"ms", std::to_string(ms)}});
    }
}

} // namespace

control_thread::control_thread(const process_settings& settings, const wire::cluster_secret& secret,
                               base::incarnation incarnation, dialect http_dialect)
    : m_dialect(std::move(http_dialect)),
      m_settings(settings),
      m_secret(secret),
      m_incarnation(incarnation),
      m_directory(m_settings),
      m_messages(m_loop, secret, settings.name, incarnation)
{
}

base::result<void> control_thread::start()
{
    BOOST_LEAF_CHECK(m_messages.listen(to_string(m_settings.messages)));
    if (m_settings.replica) {
        m_replica = std::make_unique<replica_host>(
            m_loop, m_settings,
            replica_host::hooks{.send =
                                    [this](const consensus::envelope& message) {
                                        const base::node_id to(message.to.id.value());
                                        if (const auto address = m_directory.address_of(to)) {
                                            m_messages.send(to, address->value(),
                                                            wire::message_kind::consensus, message);
                                        }
                                    },
                                .settings_changed =
                                    [this](base::settings_version version) {
                                        if (m_propagation) {
                                            m_propagation->replica_changed(version);
                                        }
                                    }});
        m_messages.on_message<consensus::envelope>(
            wire::message_kind::consensus,
            [this](const base::node_id& sender, const consensus::envelope& message) {
                if (message.from.id.value() == sender.value()) {
                    m_replica->receive(message);
                }
            });
        BOOST_LEAF_CHECK(m_replica->start());
        if (m_settings.discovers_replicas) {
            m_replica_membership = std::make_unique<replica_membership_host>(
                m_loop, m_messages, m_settings, m_directory, *m_replica);
            m_replica_membership->start();
        }
        m_operators =
            std::make_unique<operator_api>(m_loop, *m_replica, m_secret, m_settings, m_dialect);
        BOOST_LEAF_CHECK(m_operators->listen(m_settings.replica->operators));
    }
    m_propagation = std::make_unique<propagation_host>(
        m_loop, m_messages, m_settings, m_directory, m_replica.get(),
        propagation_host::hooks{
            .changed = [this](auto compiled) { on_settings_changed(std::move(compiled)); },
            .confirmed =
                [this](base::time_point when) {
                    if (m_node) {
                        m_node->confirm_settings(when);
                    }
                },
            .add_nearby = [this](auto& candidates) { m_node->add_nearby(candidates); }});
    m_claims = std::make_unique<claims_host>(
        m_loop, m_messages, m_settings, m_directory, m_replica.get(),
        claims_host::hooks{.deliver = [this](const node::event& event) {
            m_traffic->post(
                [event](traffic_frontend& frontend, traffic_quota&) { frontend.deliver(event); });
        }});
    if (m_settings.node) {
        start_node_parts();
        BOOST_LEAF_CHECK(m_traffic->start(m_node->view()));
        m_traffic_stopped = false;
        m_node->start();
        m_quota->start();
        m_claims->start();
    }
    m_propagation->start();
    return {};
}

void control_thread::start_node_parts()
{
    m_node = std::make_unique<node_host>(
        m_loop, m_messages, m_settings, m_incarnation,
        node_host::hooks{.publish = [this](auto view) { m_traffic->publish(std::move(view)); }});
    m_quota = std::make_unique<quota_host>(
        m_loop, m_messages, m_settings, m_directory, m_incarnation, m_node->members(),
        quota_host::hooks{
            .control_voters =
                [this] { return m_replica ? m_replica->voters() : std::vector<base::node_id>(); },
            .to_buckets =
                [this](const quota::quota_message& message) {
                    m_traffic->post([message](traffic_frontend&, traffic_quota& buckets) {
                        buckets.receive(message, http::event_loop::now());
                    });
                },
            .set_holder =
                [this](const std::optional<quota::holder_id>& holder) {
                    m_traffic->post([holder](traffic_frontend&, traffic_quota& buckets) {
                        buckets.set_holder(holder, http::event_loop::now());
                    });
                },
            .set_quotas =
                [this](const std::vector<quota::workspace_quota>& quotas) {
                    m_traffic->post([quotas](traffic_frontend&, traffic_quota& buckets) {
                        buckets.set_quotas(quotas, http::event_loop::now());
                    });
                }});
    m_traffic = std::make_unique<traffic_thread>(m_secret, m_settings.name, m_incarnation,
                                                 *m_settings.node, m_dialect, make_requests());
}

control_requests control_thread::make_requests()
{
    control_requests requests;
    requests.acquire_claim = [this](const node::request_claim& wanted) {
        m_loop.post([this, wanted] { m_claims->acquire(wanted); });
    };
    requests.release_claim = [this](const node::release_claim& wanted) {
        m_loop.post([this, wanted] { m_claims->release(wanted); });
    };
    requests.complete_claim = [this](const node::complete_claim& wanted) {
        m_loop.post([this, wanted] { m_claims->complete(wanted); });
    };
    requests.announce = [this](local_api::action wanted, const membership::announcement& offer,
                               local_api::done done) {
        m_loop.post([this, wanted, offer, done = std::move(done)] {
            m_node->announce(wanted, offer, [this, done](membership::announce_verdict verdict) {
                m_traffic->post(
                    [done, verdict](traffic_frontend&, traffic_quota&) { done(verdict); });
            });
        });
    };
    requests.drain_run = [this](const base::instance_id& run) {
        m_loop.post([this, run] { m_node->drain_run(run); });
    };
    requests.send_quota = [this](const quota::quota_send& wanted) {
        m_loop.post([this, wanted] { m_quota->send(wanted); });
    };
    requests.control_metrics = [this] { return m_messages.sent().metrics(); };
    return requests;
}

void control_thread::on_settings_changed(
    std::shared_ptr<const settings::compiled_settings> compiled)
{
    if (m_node) {
        m_quota->set_settings(*compiled);
        m_node->set_settings(std::move(compiled));
    }
}

void control_thread::run(const signal_watch& signals,
                         std::function<std::optional<process_settings_document>()> read_again)
{
    m_read_again = std::move(read_again);
    m_loop.watch(signals.fd(), signal_watch::readable,
                 [this, &signals](std::uint32_t) { on_signal(signals.take()); });
    m_loop.each_round([this](base::time_point now) -> std::optional<base::time_point> {
        if (!m_stop) {
            return std::nullopt;
        }
        finish_stop(now);
        return now + stop_check_interval;
    });
    m_loop.observe_waits([](base::duration busy, base::duration, base::time_point) {
        warn_if_long("control_thread_stalled", busy);
    });
    m_loop.observe_timers([](base::duration late) { warn_if_long("control_thread_late", late); });
    log(log_level::info, "started", {{"messages", to_string(m_settings.messages)}});
    log_messages_sent();
    m_loop.run();
    if (m_traffic) {
        const auto cut = m_traffic->end();
        if (cut != 0) {
            log(log_level::warn, "requests_cut_off", {{"count", std::to_string(cut)}});
        }
    }
    log(log_level::info, "stopped");
}

void control_thread::log_messages_sent()
{
    log(log_level::info, "messages_sent", {{"total", m_messages.sent().summary()}});
    const auto now = http::event_loop::now();
    m_loop.call_at(m_loop.next_multiple(messages_log_interval, now),
                   [this] { log_messages_sent(); });
}

void control_thread::on_signal(int number)
{
    if (number == SIGHUP) {
        return reload();
    }
    if (number != SIGTERM && number != SIGINT) {
        return;
    }
    if (m_stop) {
        m_stop->end(http::event_loop::now());
        return;
    }
    begin_stop();
}

void control_thread::reload()
{
    const auto read = m_read_again ? m_read_again() : std::nullopt;
    if (!read) {
        log(log_level::warn, "settings_file_refused", {{"problem", "the file cannot be read"}});
        return;
    }
    auto decided = reload_settings(m_settings, *read);
    if (!decided.in_force) {
        log(log_level::warn, "settings_file_refused", {{"problem", decided.problem}});
        return;
    }
    m_settings = std::move(*decided.in_force);
    set_log_level(m_settings.log.level);
    std::string sections;
    for (const auto& section : decided.pending_restart) {
        sections += (sections.empty() ? "" : ", ") + section;
    }
    log(log_level::info, "settings_file_applied",
        {{"control_vms", std::to_string(m_settings.replicas.size())},
         {"pending_restart", sections}});
}

void control_thread::begin_stop()
{
    const auto limit = m_settings.node ? m_settings.node->stop_limit : stop_limit_without_node;
    const bool keeps_serving = m_settings.node && m_settings.node->serve_while_stopping;
    m_stop.emplace(http::event_loop::now(), limit, keeps_serving);
    log(log_level::info, "stopping");
    if (m_replica) {
        if (m_replica_membership) {
            m_replica_membership->leave();
        }
        m_replica->transfer_leadership();
    }
    if (m_node) {
        m_traffic->prepare_stop();
    }
}

void control_thread::leave_fleet()
{
    m_fleet_left = true;
    if (m_node) {
        m_node->leave();
        m_quota->stop();
        m_traffic->leave();
    }
}

void control_thread::stop_traffic()
{
    m_traffic_stopping = true;
    if (m_node) {
        m_traffic->stop([this] { m_loop.post([this] { m_traffic_stopped = true; }); });
    }
}

void control_thread::finish_stop(base::time_point now)
{
    if (!m_fleet_left && now >= m_stop->leave_at()) {
        leave_fleet();
    }
    if (m_node && !m_accepting_stopped && now >= m_stop->stop_accepting_at()) {
        m_accepting_stopped = true;
        m_traffic->stop_accepting(m_stop->serving_end());
    }
    if (m_fleet_left && !m_traffic_stopping && now >= m_stop->stop_traffic_at()) {
        stop_traffic();
    }
    if (m_traffic_stopping && m_traffic_stopped) {
        m_stop->answers_sent(now);
    }
    if (m_stop->exit_due(now)) {
        m_loop.stop();
    }
}

} // namespace damaskladder::daemon
