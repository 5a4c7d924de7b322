#include "membership/domain_exchange.hpp"

#include "membership/stable_hash.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace damaskladder::membership {

namespace {

/// One in this many rounds of hellos includes the list of other failure domains.
constexpr std::size_t hellos_per_domain_list = 10;

/// A summary does not remove a node whose record changed within this time, because the record may
/// be newer than the summary.
constexpr base::duration summary_grace_time = std::chrono::seconds(2);

bool contains_node(const std::vector<endpoint>& relays, const base::node_id& node)
{
    return std::any_of(relays.begin(), relays.end(),
                       [&](const endpoint& relay) { return relay.node == node; });
}

bool matches_before_or_after(const service_subscription& subscription, const member_record* before,
                             const member_record& after)
{
    return subscription.matches(after) || (before != nullptr && subscription.matches(*before));
}

} // namespace

domain_exchange::domain_exchange(endpoint self, base::failure_domain_id domain,
                                 domain_options options, base::random_source random)
    : m_self(std::move(self)),
      m_domain(std::move(domain)),
      m_options(options),
      m_random(std::move(random))
{
}

void domain_exchange::set_subscription(service_subscription subscription)
{
    m_subscription = std::move(subscription);
    m_next_subscribe = {};
    m_changed = true;
}

void domain_exchange::tick(const domain_context& context)
{
    update_role(context);
    expire_domains(context);
    if (context.is_relay && context.now >= m_next_hello) {
        m_next_hello = context.now + m_options.hello_interval;
        prune_state(context);
        send_hellos(context);
        contact_seed(context);
    }
    const bool relays_changed = context.relays != m_last_relays;
    if (relays_changed || context.now >= m_next_subscribe) {
        m_last_relays = context.relays;
        m_next_subscribe = context.now + m_options.subscribe_interval;
        send_subscriptions(context);
    }
}

void domain_exchange::update_role(const domain_context& context)
{
    if (context.is_relay == m_was_relay) {
        return;
    }
    // The new role uses other messages to detect timeouts, so all timeouts start again.
    m_was_relay = context.is_relay;
    m_last_relay_contact = context.active_time;
    for (auto& item : m_domains) {
        if (item.second.reach == reachability::reachable) {
            item.second.last_contact = context.active_time;
        }
    }
}

void domain_exchange::expire_domains(const domain_context& context)
{
    const bool relays_timed_out =
        context.active_time - m_last_relay_contact > m_options.relays_timeout;
    for (auto it = m_domains.begin(); it != m_domains.end();) {
        remote_domain& known = it->second;
        const base::duration silence = context.active_time - known.last_contact;
        if (silence > m_options.remove_after) {
            m_changed = true;
            it = m_domains.erase(it);
            continue;
        }
        const bool timed_out =
            context.is_relay ? silence > m_options.unreachable_after : relays_timed_out;
        if (timed_out) {
            set_reachability(known, reachability::unreachable, context);
        }
        ++it;
    }
}

void domain_exchange::set_reachability(remote_domain& known, reachability reach,
                                       const domain_context& context)
{
    if (known.reach == reach) {
        return;
    }
    known.reach = reach;
    m_changed = true;
    if (!context.is_relay) {
        return;
    }
    for (const auto& [node, held] : m_subscribers) {
        send_states({node, held.address});
    }
}

void domain_exchange::record_contact(remote_domain& known, const domain_context& context)
{
    known.last_contact = context.active_time;
    set_reachability(known, reachability::reachable, context);
}

void domain_exchange::send_hellos(const domain_context& context)
{
    ++m_hello_rounds;
    for (const auto& [domain, known] : m_domains) {
        for (const endpoint& relay : known.relays) {
            send_hello(relay, domain, context);
        }
        // The known relays may have failed permanently. Any node forwards a hello to its relays.
        const std::vector<base::node_id> alive = known.members.alive();
        if (known.reach == reachability::unreachable && !alive.empty()) {
            const base::node_id& node = alive[m_random() % alive.size()];
            send_hello({node, known.members.find(node)->messages}, domain, context);
        }
    }
}

void domain_exchange::send_hello(const endpoint& to, const base::failure_domain_id& domain,
                                 const domain_context& context)
{
    const service_subscription subscription = merged_subscription(context);
    domain_hello hello;
    hello.domain = m_domain;
    hello.sender = m_self;
    hello.relays = context.relays;
    hello.subscription_digest = subscription.digest();
    const remote_domain* known = find(domain);
    hello.subscription = subscription;
    if (known != nullptr) {
        hello.held = known->members.matching_digest(subscription);
        auto link = known->links.find(to.node);
        if (link != known->links.end()) {
            hello.known_subscription_digest = link->second.subscription.digest();
            if (link->second.known_subscription_digest == hello.subscription_digest) {
                hello.subscription.reset();
            }
        }
    }
    if (m_hello_rounds % hellos_per_domain_list == 1) {
        for (const auto& [other, state] : m_domains) {
            hello.others.push_back({other, state.relays});
        }
    }
    m_sends.push_back({to, std::move(hello)});
}

void domain_exchange::contact_seed(const domain_context& context)
{
    // Once other failure domains are known, seeds are contacted only to find a missing one.
    const bool due = m_domains.empty() || m_hello_rounds % hellos_per_domain_list == 0;
    if (context.seeds.empty() || !due) {
        return;
    }
    const base::message_address& seed = context.seeds[m_random() % context.seeds.size()];
    const std::vector<base::node_id> alive = context.members.alive();
    const bool own = seed == m_self.address ||
                     std::any_of(alive.begin(), alive.end(), [&](const base::node_id& node) {
                         return context.members.find(node)->messages == seed;
                     });
    const bool known = std::any_of(m_domains.begin(), m_domains.end(), [&](const auto& item) {
        const auto& relays = item.second.relays;
        return std::any_of(relays.begin(), relays.end(),
                           [&](const endpoint& relay) { return relay.address == seed; });
    });
    if (!own && !known) {
        send_hello({base::node_id(), seed}, {}, context);
    }
}

void domain_exchange::send_subscriptions(const domain_context& context)
{
    subscribe body{m_self.address, m_subscription, {}, states_digest()};
    for (const auto& [domain, known] : m_domains) {
        body.held.push_back({domain, known.members.matching_digest(m_subscription)});
    }
    for (const endpoint& relay : context.relays) {
        if (relay.node != m_self.node) {
            m_sends.push_back({relay, body});
        }
    }
}

void domain_exchange::member_changed(const member_record* before, const member_record& after,
                                     const domain_context& context)
{
    if (!context.is_relay) {
        return;
    }
    for (const auto& [domain, known] : m_domains) {
        for (const endpoint& relay : known.relays) {
            auto link = known.links.find(relay.node);
            if (link != known.links.end() &&
                matches_before_or_after(link->second.subscription, before, after)) {
                m_sends.push_back({relay, domain_update{m_domain, {after}}});
            }
        }
    }
}

void domain_exchange::handle(const domain_hello& body, const domain_context& context)
{
    if (body.domain == m_domain) {
        return;
    }
    if (!context.is_relay) {
        domain_hello forwarded_hello = body;
        forwarded_hello.forwarded = true;
        if (!body.forwarded) {
            for (const endpoint& relay : context.relays) {
                m_sends.push_back({relay, forwarded_hello});
            }
        }
        return;
    }
    const bool was_known = find(body.domain) != nullptr;
    remote_domain* known = find_or_add(body.domain);
    if (known == nullptr) {
        return;
    }
    known->relays = body.relays;
    std::erase_if(known->links,
                  [&](const auto& item) { return !contains_node(body.relays, item.first); });
    record_contact(*known, context);
    for (const domain_relays& other : body.others) {
        add_unknown_domain(other, context);
    }
    // A sender that its own failure domain does not list as a relay yet is answered, but no state
    // is kept for it.
    relay_link unlisted;
    relay_link& link =
        contains_node(body.relays, body.sender.node) ? known->links[body.sender.node] : unlisted;
    link.subscription = body.subscription.value_or(link.subscription);
    if (body.held.has_value()) {
        link.known_subscription_digest = body.known_subscription_digest;
    }
    if (!was_known || !body.held.has_value()) {
        send_hello(body.sender, body.domain, context);
    }
    const bool has_subscription = link.subscription.digest() == body.subscription_digest;
    if (has_subscription && body.held.has_value() &&
        context.members.matching_digest(link.subscription) != *body.held) {
        send_summary(body.sender, m_domain, context.members, link.subscription, context);
    }
}

void domain_exchange::add_unknown_domain(const domain_relays& contact_points,
                                         const domain_context& context)
{
    if (contact_points.domain == m_domain || find(contact_points.domain) != nullptr) {
        return;
    }
    remote_domain* added = find_or_add(contact_points.domain);
    if (added != nullptr) {
        added->relays = contact_points.relays;
        added->last_contact = context.active_time;
    }
}

void domain_exchange::handle(const base::node_id& from, const subscribe& body,
                             const domain_context& context)
{
    if (context.members.find_alive(from) == nullptr) {
        return;
    }
    m_subscribers[from] = {body.reply_to, body.subscription};
    const endpoint to{from, body.reply_to};
    if (body.states == states_digest()) {
        m_sends.push_back({to, domain_states{true, {}}});
    }
    else {
        send_states(to);
    }
    for (const auto& [domain, known] : m_domains) {
        table_digest theirs;
        for (const domain_digest& held : body.held) {
            theirs = held.domain == domain ? held.digest : theirs;
        }
        if (theirs != known.members.matching_digest(body.subscription)) {
            send_summary(to, domain, known.members, body.subscription, context);
        }
    }
}

void domain_exchange::handle(const domain_states& body, const domain_context& context)
{
    m_last_relay_contact = context.active_time;
    if (context.is_relay) {
        return;
    }
    for (auto& item : m_domains) {
        if (body.unchanged && item.second.reach == reachability::reachable) {
            item.second.last_contact = context.active_time;
        }
    }
    for (const domain_state& state : body.states) {
        if (state.contact_points.domain == m_domain) {
            continue;
        }
        remote_domain* known = find_or_add(state.contact_points.domain);
        if (known == nullptr) {
            continue;
        }
        known->relays = state.contact_points.relays;
        known->last_contact =
            state.reach == reachability::reachable ? context.active_time : known->last_contact;
        set_reachability(*known, state.reach, context);
    }
}

void domain_exchange::handle(const domain_update& body, const domain_context& context)
{
    remote_domain* known = find(body.domain);
    if (known != nullptr && body.domain != m_domain) {
        apply_records(*known, body.domain, body.records, context);
    }
}

void domain_exchange::handle(const domain_summary& body, const domain_context& context)
{
    remote_domain* known = body.domain == m_domain ? nullptr : find_or_add(body.domain);
    if (known == nullptr) {
        return;
    }
    const std::optional<std::vector<member_record>> records = known->pending_summaries.add(body);
    if (!records.has_value()) {
        return;
    }
    apply_records(*known, body.domain, *records, context);
    std::set<base::node_id> present;
    for (const member_record& record : *records) {
        present.insert(record.node);
    }
    for (const base::node_id& node : known->members.alive()) {
        const bool settled = context.now - known->members.changed_at(node) > summary_grace_time;
        if (settled && present.count(node) == 0) {
            remove_member(*known, body.domain, node);
        }
    }
}

void domain_exchange::remove_member(remote_domain& known, const base::failure_domain_id& domain,
                                    const base::node_id& node)
{
    const member_record removed = *known.members.find(node);
    known.members.erase(node);
    m_changed = true;
    forward_to_subscribers(domain, &removed, tombstone_of(removed, member_status::dead));
}

void domain_exchange::apply_records(remote_domain& known, const base::failure_domain_id& domain,
                                    const std::vector<member_record>& records,
                                    const domain_context& context)
{
    for (const member_record& record : records) {
        if (record.domain != domain) {
            continue;
        }
        const member_record* held = known.members.find(record.node);
        const std::optional<member_record> before =
            held == nullptr ? std::nullopt : std::optional(*held);
        const merge_verdict verdict = known.members.merge(record, context.now);
        if (verdict == merge_verdict::ignored && before->incarnation > record.incarnation &&
            context.is_relay) {
            // The node's whole failure domain restarted with its clock set back, so that only other
            // failure domains still know the higher incarnation.
            m_sends.push_back({{record.node, record.messages}, member_update{{*before}}});
        }
        if (verdict == merge_verdict::ignored || verdict == merge_verdict::refused_full) {
            continue;
        }
        m_changed = true;
        if (context.is_relay) {
            forward_to_subscribers(domain, before.has_value() ? &*before : nullptr, record);
        }
    }
}

void domain_exchange::forward_to_subscribers(const base::failure_domain_id& domain,
                                             const member_record* before,
                                             const member_record& after)
{
    for (const auto& [node, held] : m_subscribers) {
        if (matches_before_or_after(held.subscription, before, after)) {
            m_sends.push_back({{node, held.address}, domain_update{domain, {after}}});
        }
    }
}

void domain_exchange::send_states(const endpoint& to)
{
    m_sends.push_back({to, domain_states{false, states()}});
}

void domain_exchange::send_summary(const endpoint& to, const base::failure_domain_id& domain,
                                   const member_table& members,
                                   const service_subscription& subscription,
                                   const domain_context& context)
{
    // A receiver may need summaries of several failure domains, so the rate limit applies per
    // receiver and failure domain.
    const endpoint key{base::node_id(to.node.value() + '/' + domain.value()), to.address};
    base::time_point& next = m_next_summary[key];
    if (context.now < next) {
        return;
    }
    next = context.now + m_options.summary_interval;
    m_summary = base::sequence_number(m_random());
    const std::vector<member_record> records = members.matching_records(subscription);
    const std::size_t batch_size = m_options.limits.records_per_message;
    const std::size_t parts =
        std::max<std::size_t>(1, (records.size() + batch_size - 1) / batch_size);
    for (std::size_t part = 0; part < parts; ++part) {
        domain_summary body{domain,
                            m_summary,
                            static_cast<std::uint32_t>(part),
                            static_cast<std::uint32_t>(parts),
                            {}};
        const std::size_t last = std::min((part + 1) * batch_size, records.size());
        for (std::size_t index = part * batch_size; index < last; ++index) {
            body.records.push_back(records[index]);
        }
        m_sends.push_back({to, std::move(body)});
    }
}

void domain_exchange::prune_state(const domain_context& context)
{
    for (auto& item : m_domains) {
        item.second.members.drop_tombstones(context.now, m_options.tombstone_retention);
    }
    std::erase_if(m_subscribers, [&](const auto& item) {
        return context.members.find_alive(item.first) == nullptr;
    });
    std::erase_if(m_next_summary, [&](const auto& item) { return item.second < context.now; });
}

service_subscription domain_exchange::merged_subscription(const domain_context& context) const
{
    service_subscription subscription = m_subscription;
    if (context.is_relay) {
        for (const auto& item : m_subscribers) {
            subscription.add(item.second.subscription);
        }
    }
    return subscription;
}

std::vector<domain_state> domain_exchange::states() const
{
    std::vector<domain_state> all;
    for (const auto& [domain, known] : m_domains) {
        all.push_back({{domain, known.relays}, known.reach});
    }
    return all;
}

table_digest domain_exchange::states_digest() const
{
    table_digest digest;
    for (const auto& [domain, known] : m_domains) {
        std::string text = domain.value();
        text += known.reach == reachability::reachable ? '+' : '-';
        for (const endpoint& relay : known.relays) {
            text += relay.node.value() + ' ' + relay.address.value() + ' ';
        }
        digest = toggled(digest, table_digest(stable_hash(text, 2)));
    }
    return digest;
}

remote_domain* domain_exchange::find(const base::failure_domain_id& domain)
{
    auto found = m_domains.find(domain);
    return found == m_domains.end() ? nullptr : &found->second;
}

remote_domain* domain_exchange::find_or_add(const base::failure_domain_id& domain)
{
    remote_domain* found = find(domain);
    if (found != nullptr || m_domains.size() >= m_options.limits.failure_domains) {
        return found;
    }
    auto added = m_domains.emplace(domain, remote_domain(m_options.limits.members_per_domain));
    return &added.first->second;
}

std::vector<endpoint> domain_exchange::relays_of(const base::failure_domain_id& domain) const
{
    auto found = m_domains.find(domain);
    return found == m_domains.end() ? std::vector<endpoint>{} : found->second.relays;
}

void domain_exchange::add_to(service_view& view) const
{
    for (const auto& item : m_domains) {
        for (const member_record& record : item.second.members.matching_records(m_subscription)) {
            view.add(record, item.second.reach);
        }
    }
}

std::vector<send> domain_exchange::take_pending_sends()
{
    return std::exchange(m_sends, {});
}

bool domain_exchange::take_changed()
{
    return std::exchange(m_changed, false);
}

} // namespace damaskladder::membership
