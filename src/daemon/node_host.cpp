#include "daemon/node_host.hpp"

#include "daemon/announce_permission.hpp"
#include "daemon/log.hpp"
#include "daemon/secure_random.hpp"
#include "daemon/view_builder.hpp"
#include "membership/nearby_relays.hpp"

#include <algorithm>

namespace damaskladder::daemon {

namespace {

/// One may fail without a gap in the settings of its failure domain.
constexpr std::size_t relays_per_failure_domain = 2;

/// Backend servers wait a second for an answer.
constexpr base::duration confirmation_time_limit = std::chrono::milliseconds(800);

membership::node_identity identity_of(const process_settings& settings,
                                      base::incarnation incarnation)
{
    membership::node_identity identity;
    identity.node = settings.name;
    identity.domain = settings.domain;
    if (settings.whole_fleet_membership) {
        identity.domain = base::failure_domain_id("fleet");
        identity.vm_domain = settings.domain;
    }
    identity.start_incarnation = incarnation;
    identity.messages = base::message_address(to_string(settings.messages));
    identity.traffic = base::traffic_address(to_string(settings.node->listen.peers));
    return identity;
}

membership::membership_options options_of(const process_settings& settings)
{
    membership::membership_options options;
    for (const auto& seed : settings.seeds) {
        options.seeds.emplace_back(to_string(seed));
    }
    return options;
}

membership::announcement_options announcement_options_of(const node_settings& settings)
{
    constexpr int intervals_per_lease = 4;
    membership::announcement_options options;
    options.lease = settings.announce_interval * intervals_per_lease;
    options.may_announce = [&settings](const membership::credential_text& credential,
                                       const base::service_id& service) {
        return may_announce(settings, credential, service);
    };
    return options;
}

} // namespace

node_host::node_host(http::event_loop& loop, messenger& messages, const process_settings& settings,
                     base::incarnation incarnation, hooks callbacks)
    : m_loop(loop),
      m_messages(messages),
      m_settings(settings),
      m_hooks(std::move(callbacks)),
      m_announcements(announcement_options_of(*settings.node)),
      m_membership(identity_of(settings, incarnation), options_of(settings), secure_random()),
      m_confirmations(confirmation_time_limit),
      m_compiled(settings::compiled_settings::compile({})),
      m_tables(make_tables(m_compiled))
{
    m_messages.on_message<membership::message>(
        wire::message_kind::membership,
        [this](const base::node_id& sender, const membership::message& body) {
            perform(m_membership.receive(sender, body, http::event_loop::now()));
        });
}

void node_host::start()
{
    const auto now = http::event_loop::now();
    perform(m_membership.start(now));
    // Any node may be the entry node for any route, so it needs all services.
    membership::service_subscription all;
    all.all = true;
    perform(m_membership.set_subscription(all, now));
    tick();
}

void node_host::tick()
{
    const auto now = http::event_loop::now();
    if (m_announcements.expire(now)) {
        publish_backends(now);
        m_view_stale = true;
    }
    perform(m_membership.tick(now));
    if (m_view_stale) {
        publish();
    }
    m_loop.call_at(m_loop.next_multiple(membership::membership_options().tick_interval, now),
                   [this] { tick(); });
}

void node_host::perform(const membership::effects& effects)
{
    for (const auto& send : effects.sends) {
        m_messages.send(send.to.node, send.to.address.value(), wire::message_kind::membership,
                        send.body);
    }
    m_view_stale = m_view_stale || effects.view_changed;
    if (!effects.recovered_endings.empty()) {
        const auto now = http::event_loop::now();
        m_announcements.recover(effects.recovered_endings, now);
        m_view_stale = true;
        log(log_level::info, "run_endings_recovered",
            {{"count", std::to_string(effects.recovered_endings.size())}});
        publish_backends(now);
    }
    if (!m_knows_earlier_endings && m_membership.knows_earlier_endings()) {
        m_knows_earlier_endings = true;
        m_view_stale = true;
        log(log_level::info, "earlier_run_endings_known");
        publish_backends(http::event_loop::now());
    }
    m_confirmations.resolve(m_membership.confirmed_endings(), http::event_loop::now());
}

std::vector<membership::backend_server> node_host::offered_servers() const
{
    return m_knows_earlier_endings ? m_announcements.backends()
                                   : std::vector<membership::backend_server>();
}

std::vector<membership::local_announcement> node_host::offered_announcements() const
{
    return m_knows_earlier_endings ? m_announcements.announced()
                                   : std::vector<membership::local_announcement>();
}

void node_host::publish_backends(base::time_point now)
{
    perform(m_membership.set_backends(offered_servers(), now, m_announcements.endings(now)));
}

void node_host::set_settings(std::shared_ptr<const settings::compiled_settings> settings)
{
    m_compiled = std::move(settings);
    m_tables = make_tables(m_compiled);
    log(log_level::info, "settings_in_force",
        {{"version", std::to_string(m_compiled->version().value())}});
    publish();
}

void node_host::confirm_settings(base::time_point when)
{
    m_confirmed_at = std::max(m_confirmed_at, when);
    publish();
}

membership::announce_verdict node_host::apply(local_api::action wanted,
                                              const membership::announcement& offer,
                                              base::time_point now)
{
    switch (wanted) {
    case local_api::action::announce:
        return m_announcements.announce(offer, now);
    case local_api::action::withdraw:
        return m_announcements.withdraw(offer, now);
    case local_api::action::drain:
        return m_announcements.drain(offer.service, offer.port, offer.credential);
    }
    return membership::announce_verdict::unknown;
}

void node_host::announce(local_api::action wanted, const membership::announcement& offer,
                         local_api::done done)
{
    const auto now = http::event_loop::now();
    const auto verdict = apply(wanted, offer, now);
    publish_backends(now);
    publish();
    const bool ends_run = wanted != local_api::action::announce || offer.draining;
    const bool left = m_membership.self().status == membership::member_status::left;
    if (ends_run && left) {
        done(membership::announce_verdict::leaving);
        return;
    }
    if (!ends_run || verdict != membership::announce_verdict::accepted) {
        done(verdict);
        return;
    }
    m_confirmations.add(
        m_membership.published_endings(),
        [done = std::move(done), run = offer.instance](membership::announce_verdict outcome) {
            if (outcome == membership::announce_verdict::unconfirmed) {
                log(log_level::warn, "run_ending_unconfirmed", {{"instance", run.value()}});
            }
            done(outcome);
        },
        now);
    m_confirmations.resolve(m_membership.confirmed_endings(), now);
}

void node_host::drain_run(const base::instance_id& run)
{
    if (m_announcements.drain_run(run)) {
        publish_backends(http::event_loop::now());
        publish();
    }
}

void node_host::add_nearby(propagation::upstream_candidates& candidates)
{
    update_nearby_relays();
    const auto& members = m_membership.members();
    candidates.fleet_size = members.alive_count();
    for (const auto& replica : candidates.replicas) {
        const auto* record = members.find_alive(replica.node);
        if (record != nullptr && record->location() == m_settings.domain) {
            candidates.near_replicas.push_back(replica.node);
        }
    }
    const bool is_relay =
        std::any_of(m_nearby_relays.begin(), m_nearby_relays.end(),
                    [&](const auto& relay) { return relay.node == m_settings.name; });
    if (!is_relay) {
        candidates.relays = m_nearby_relays;
    }
}

void node_host::update_nearby_relays()
{
    const auto& members = m_membership.members();
    if (members.digest() == m_nearby_digest) {
        return;
    }
    m_nearby_digest = members.digest();
    m_nearby_relays.clear();
    for (const auto& relay :
         membership::nearby_relays(members, m_settings.domain, relays_per_failure_domain)) {
        m_nearby_relays.push_back({relay.node, relay.address});
    }
}

void node_host::leave()
{
    m_announcements.drain_all();
    perform(m_membership.leave(http::event_loop::now()));
    publish();
}

std::shared_ptr<const traffic_view> node_host::view() const
{
    view_sources from;
    from.self = m_settings.name;
    from.domain = m_settings.domain;
    from.settings = m_tables;
    from.settings_confirmed_at = m_confirmed_at;
    from.services = m_membership.view();
    from.local = offered_announcements();
    from.started_at = m_started_at;
    from.backend_server_host = m_settings.node->backend_server_host;
    return build_view(from);
}

void node_host::log_backend_servers()
{
    std::size_t reachable = 0;
    std::size_t draining = 0;
    std::size_t unreachable = 0;
    const auto services = m_membership.view();
    for (const auto& service : services->services()) {
        for (const auto& endpoint : services->endpoints(service)) {
            const bool reached = endpoint.reach == membership::reachability::reachable;
            reachable += reached ? 1 : 0;
            unreachable += reached ? 0 : 1;
            draining += endpoint.backend.draining ? 1 : 0;
        }
    }
    const std::vector<std::size_t> known = {reachable, draining, unreachable};
    if (known == m_logged_servers) {
        return;
    }
    m_logged_servers = known;
    log(log_level::info, "backend_servers_known",
        {{"services", std::to_string(services->services().size())},
         {"reachable", std::to_string(reachable)},
         {"draining", std::to_string(draining)},
         {"unreachable", std::to_string(unreachable)},
         {"own_domain_members", std::to_string(m_membership.members().alive().size())},
         {"relay", m_membership.is_relay() ? "yes" : "no"}});
}

void node_host::publish()
{
    m_view_stale = false;
    log_backend_servers();
    m_hooks.publish(view());
}

} // namespace damaskladder::daemon
