#include "daemon/quota_host.hpp"

#include "daemon/log.hpp"
#include "daemon/secure_random.hpp"

#include <algorithm>
#include <cmath>

namespace damaskladder::daemon {

namespace {

// Interval of a holder, whose tokens accrue and are lent at this pace.
constexpr base::duration holder_interval = std::chrono::milliseconds(10);
// Interval of a candidate for the lease.
constexpr base::duration candidate_interval = std::chrono::milliseconds(20);
// Interval of any other node, which only forgets a holder that is silent.
constexpr base::duration node_interval = std::chrono::milliseconds(100);
constexpr base::duration notice_interval = std::chrono::milliseconds(500);
// A holder that has sent no notice for this time has lost its lease.
constexpr base::duration notice_lifetime = std::chrono::seconds(3);
constexpr std::int64_t interval_points = 1'000'000;

/// Share of the whole rates, used if the settings name no failure domains.
constexpr quota::domain_share whole_share{quota::share_point(0),
                                          quota::share_point(interval_points)};

/// The fleet-wide lease is short: without its holder no node gets tokens, and renewal by three
/// voters is cheap.
lease::lease_options lease_timing(bool pooled)
{
    lease::lease_options options;
    if (pooled) {
        options.lease_duration = std::chrono::milliseconds(900);
        options.renew_interval = options.lease_duration / 4;
        options.poll_interval = options.lease_duration / 6;
        // Without it each of N candidates asks N voters several times a second.
        options.quiet_after_notice = std::chrono::milliseconds(650);
    }
    return options;
}

lease::lease_resource resource_of(const base::failure_domain_id& domain)
{
    return lease::lease_resource("quota/" + domain.value());
}

quota::share_point point_at(double sum)
{
    return quota::share_point(std::llround(sum * interval_points));
}

/// Part of the interval that belongs to a failure domain. Parts are laid out in the order of the
/// domain names.
quota::domain_share share_of(const settings::compiled_settings& settings,
                             const base::failure_domain_id& domain)
{
    double sum = 0;
    for (const auto& other : settings.domains()) {
        const double next = sum + other.share.value();
        if (other.id == domain) {
            return {point_at(sum), point_at(next)};
        }
        sum = next;
    }
    return {};
}

std::vector<quota::workspace_quota> quotas_of(const settings::compiled_settings& settings)
{
    constexpr std::int64_t millionths_per_thousandth = 1000;
    std::vector<quota::workspace_quota> quotas;
    for (const auto& workspace : settings.workspaces()) {
        const quota::token_rate rate(workspace.rate.value() * millionths_per_thousandth);
        quotas.push_back({workspace.id, std::min(rate, quota::max_token_rate),
                          std::min(quota::one_token * workspace.burst.value(), quota::max_tokens)});
    }
    return quotas;
}

} // namespace

quota_host::quota_host(http::event_loop& loop, messenger& messages,
                       const process_settings& settings, const replica_directory& directory,
                       base::incarnation incarnation, const membership::membership_node& members,
                       hooks callbacks)
    : m_loop(loop),
      m_messages(messages),
      m_settings(settings),
      m_directory(directory),
      m_incarnation(incarnation),
      m_members(members),
      m_hooks(std::move(callbacks))
{
    m_messages.on_message<lease::lease_message>(
        wire::message_kind::lease,
        [this](const auto& sender, const auto& message) { receive(sender, message); });
    m_messages.on_message<quota::quota_message>(
        wire::message_kind::quota,
        [this](const auto& sender, const auto& message) { receive(sender, message); });
    m_messages.on_message<wire::holder_notice>(
        wire::message_kind::holder_notices,
        [this](const auto& sender, const auto& notice) { receive_notice(sender, notice); });
}

void quota_host::set_settings(const settings::compiled_settings& settings)
{
    m_version = settings.version();
    m_quotas = quotas_of(settings);
    m_pooled = settings.domains().empty();
    m_domain = m_pooled ? base::failure_domain_id() : m_settings.domain;
    m_share = m_pooled ? whole_share : share_of(settings, m_domain);
    m_hooks.set_quotas(m_quotas);
    m_other_voters.clear();
    std::vector<base::node_id> voters;
    for (const auto& domain : settings.domains()) {
        if (domain.id == m_settings.domain) {
            voters = domain.lease_voters;
        }
        else {
            m_other_voters.insert(m_other_voters.end(), domain.lease_voters.begin(),
                                  domain.lease_voters.end());
        }
    }
    const auto now = http::event_loop::now();
    if (!m_pooled) {
        set_voters(std::move(voters), now);
    }
    update_holder_settings(now);
}

void quota_host::set_voters(std::vector<base::node_id> voters, base::time_point now)
{
    if (voters == m_voters) {
        return;
    }
    m_voters = std::move(voters);
    m_holder.reset();
    if (m_candidate) {
        perform(m_candidate->release(now));
        m_candidate.reset();
    }
    if (std::find(m_voters.begin(), m_voters.end(), m_settings.name) == m_voters.end()) {
        return;
    }
    const auto resource = resource_of(m_domain);
    if (!m_voter) {
        m_voter.emplace(lease_timing(m_pooled), m_settings.name, resource, now);
    }
    m_candidate.emplace(lease_timing(m_pooled), m_settings.name, m_incarnation, resource, m_voters,
                        secure_random());
    perform(m_candidate->acquire(now));
}

void quota_host::update_holder_settings(base::time_point now)
{
    if (m_holder) {
        m_holder->set_quotas(m_version, m_quotas, now);
        m_holder->set_share(m_share, now);
    }
}

void quota_host::tick()
{
    const auto now = http::event_loop::now();
    if (m_pooled && !m_stopping) {
        set_voters(m_hooks.control_voters(), now);
    }
    if (m_candidate && now >= m_candidate->next_timer()) {
        perform(m_candidate->on_timer(now));
    }
    update_holder(now);
    if (m_holder && now >= m_holder->next_time(now)) {
        perform(m_holder->on_time(now));
    }
    if (m_holder && now >= m_next_notice) {
        m_next_notice = now + notice_interval;
        send_notices(now);
    }
    if (m_known_holder && now >= m_known_until) {
        set_known_holder(std::nullopt);
    }
    if (m_stopping && m_holder && m_holder->drained(now)) {
        m_holder.reset();
        perform(m_candidate->release(now));
    }
    m_loop.call_at(m_loop.next_multiple(interval(), now), [this] { tick(); });
}

base::duration quota_host::interval() const
{
    if (m_holder) {
        return holder_interval;
    }
    return m_candidate || m_voter ? candidate_interval : node_interval;
}

void quota_host::update_holder(base::time_point now)
{
    const bool holds = m_candidate && m_candidate->holds(now);
    if (!holds) {
        if (m_holder) {
            log(log_level::info, "quota_lease_lost");
            m_holder.reset();
        }
        return;
    }
    const quota::holder_id self{m_settings.name, m_incarnation, m_candidate->epoch()};
    if (!m_holder || !(m_holder->self() == self)) {
        // Without settings the share is unknown, and a share that grows later takes effect only
        // after a delay.
        const bool settings_known = m_version != base::settings_version();
        if (m_stopping || !settings_known) {
            return;
        }
        log(log_level::info, "quota_lease_acquired",
            {{"domain", m_domain.value()}, {"epoch", std::to_string(self.epoch.value())}});
        m_holder.emplace(quota::quota_options{}, self, m_share, m_candidate->held_until(), now);
        update_holder_settings(now);
        m_next_notice = now;
    }
    m_holder->set_lease_end(m_candidate->held_until());
}

void quota_host::send_notices(base::time_point now)
{
    const wire::holder_notice notice{m_domain, m_holder->self(),
                                     base::message_address(to_string(m_settings.messages))};
    for (const auto& node : m_members.members().alive()) {
        if (node != m_settings.name) {
            send_to(node, wire::message_kind::holder_notices, notice);
        }
    }
    if (m_pooled) {
        send_to_other_domains(notice);
    }
    for (const auto& voter : m_other_voters) {
        if (m_members.members().find_alive(voter) == nullptr) {
            send_to(voter, wire::message_kind::holder_notices, notice);
        }
    }
    m_known_until = now + notice_lifetime;
    set_known_holder(m_holder->self());
    std::vector<quota::holder_id> peers;
    for (const auto& [domain, peer] : m_peers) {
        if (m_peers_until[domain] > now) {
            peers.push_back(peer.holder);
        }
    }
    m_holder->set_peers(std::move(peers), now);
}

void quota_host::send_to_other_domains(const wire::holder_notice& notice)
{
    const auto view = m_members.view();
    for (const auto& service : view->services()) {
        for (const auto& endpoint : view->endpoints(service)) {
            if (m_members.members().find_alive(endpoint.node) == nullptr) {
                m_messages.send(endpoint.node, endpoint.messages.value(),
                                wire::message_kind::holder_notices, notice);
            }
        }
    }
}

void quota_host::receive_notice(const base::node_id&, const wire::holder_notice& notice)
{
    const auto now = http::event_loop::now();
    if (notice.domain == m_domain) {
        m_known_until = now + notice_lifetime;
        m_holder_address = notice.messages;
        set_known_holder(notice.holder);
        if (m_candidate && notice.holder.node != m_settings.name) {
            m_candidate->on_holder_notice(now);
        }
        return;
    }
    const auto known = m_peers.find(notice.domain);
    const bool changed = known == m_peers.end() || !(known->second.holder == notice.holder);
    m_peers[notice.domain] = notice;
    m_peers_until[notice.domain] = now + notice_lifetime;
    if (changed) {
        m_next_notice = now;
    }
    // The sender may reach only some voters of this failure domain, so the notice is forwarded to
    // the holder.
    if (!m_holder && m_known_holder && m_known_holder->node != m_settings.name) {
        send_to(m_known_holder->node, wire::message_kind::holder_notices, notice);
    }
}

void quota_host::set_known_holder(const std::optional<quota::holder_id>& holder)
{
    if (m_known_holder != holder) {
        m_known_holder = holder;
        log(log_level::info, holder ? "rate_holder_known" : "rate_holder_lost",
            {{"holder", holder ? holder->node.value() : std::string()}});
        m_hooks.set_holder(holder);
    }
}

void quota_host::receive(const base::node_id& sender, const lease::lease_message& message)
{
    const auto now = http::event_loop::now();
    if (const auto* ask = std::get_if<lease::lease_request>(&message)) {
        if (m_voter && ask->candidate == sender) {
            perform(m_voter->on_request(*ask, now));
        }
    }
    else if (const auto* reply = std::get_if<lease::lease_reply>(&message)) {
        if (m_candidate && reply->voter == sender) {
            perform(m_candidate->on_reply(*reply, now));
            update_holder(now);
        }
    }
    else if (const auto* freed = std::get_if<lease::lease_release>(&message)) {
        if (m_voter && freed->candidate == sender) {
            m_voter->on_release(*freed);
        }
    }
}

void quota_host::receive(const base::node_id& sender, const quota::quota_message& message)
{
    const auto now = http::event_loop::now();
    if (std::holds_alternative<quota::lend>(message) ||
        std::holds_alternative<quota::recall>(message)) {
        m_hooks.to_buckets(message);
        return;
    }
    if (!m_holder) {
        return;
    }
    if (const auto* asked = std::get_if<quota::borrow>(&message)) {
        if (asked->node == sender) {
            perform(m_holder->on_borrow(*asked, now));
        }
    }
    else if (const auto* wanted = std::get_if<quota::transfer_request>(&message)) {
        perform(m_holder->on_transfer_request(*wanted, now));
    }
    else if (const auto* moved = std::get_if<quota::transfer>(&message)) {
        perform(m_holder->on_transfer(*moved, now));
    }
    else if (const auto* taken = std::get_if<quota::transfer_ack>(&message)) {
        perform(m_holder->on_transfer_ack(*taken, now));
    }
}

void quota_host::send(const quota::quota_send& wanted)
{
    perform(quota::quota_sends{wanted});
}

void quota_host::perform(const lease::lease_effects& effects)
{
    for (const auto& effect : effects) {
        if (effect.to == m_settings.name) {
            m_loop.post([this, message = effect.message] { receive(m_settings.name, message); });
        }
        else {
            send_to(effect.to, wire::message_kind::lease, effect.message);
        }
    }
}

void quota_host::perform(const quota::quota_sends& sends)
{
    for (const auto& effect : sends) {
        if (effect.to == m_settings.name) {
            m_loop.post([this, message = effect.message] { receive(m_settings.name, message); });
        }
        else {
            send_to(effect.to, wire::message_kind::quota, effect.message);
        }
    }
}

std::optional<base::message_address> quota_host::address_of(const base::node_id& node) const
{
    if (const auto* member = m_members.members().find_alive(node)) {
        return member->messages;
    }
    if (std::find(m_voters.begin(), m_voters.end(), node) != m_voters.end()) {
        if (auto replica = m_directory.address_of(node)) {
            return replica;
        }
    }
    if (m_known_holder && m_known_holder->node == node) {
        return m_holder_address;
    }
    for (const auto& [domain, peer] : m_peers) {
        if (peer.holder.node == node) {
            return peer.messages;
        }
    }
    const auto view = m_members.view();
    for (const auto& service : view->services()) {
        for (const auto& endpoint : view->endpoints(service)) {
            if (endpoint.node == node) {
                return endpoint.messages;
            }
        }
    }
    return std::nullopt;
}

template <class Message>
void quota_host::send_to(const base::node_id& node, wire::message_kind kind, const Message& message)
{
    if (const auto address = address_of(node)) {
        m_messages.send(node, address->value(), kind, message);
    }
}

void quota_host::stop()
{
    m_stopping = true;
    if (m_holder) {
        perform(m_holder->stop(http::event_loop::now()));
    }
    else if (m_candidate) {
        perform(m_candidate->release(http::event_loop::now()));
    }
}

bool quota_host::stopped() const
{
    return !m_holder;
}

} // namespace damaskladder::daemon
