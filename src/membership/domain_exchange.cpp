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

/// Hellos that carry the list of other failure domains, one in so many.
constexpr std::size_t hellos_per_list = 10;

/// A summary does not remove a node whose record arrived within this time, because the record may
/// be newer than the summary.
constexpr base::duration summary_travel_time = std::chrono::seconds(2);

bool listed(const std::vector<endpoint>& relays, const base::node_id& node)
{
    return std::any_of(relays.begin(), relays.end(),
                       [&](const endpoint& relay) { return relay.node == node; });
}

bool wanted_before_or_after(const service_subscription& wanted, const member_record* before,
                            const member_record& after)
{
    return wanted.matches(after) || (before != nullptr && wanted.matches(*before));
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

void domain_exchange::want(service_subscription wanted)
{
    m_wanted = std::move(wanted);
    m_next_subscribe = {};
    m_changed = true;
}

void domain_exchange::tick(const domain_context& context)
{
    take_role(context);
    age_domains(context);
    if (context.is_relay && context.now >= m_next_hello) {
        m_next_hello = context.now + m_options.hello_interval;
        prune(context);
        send_hellos(context);
        call_seeds(context);
    }
    const bool relays_changed = context.relays != m_last_relays;
    if (relays_changed || context.now >= m_next_subscribe) {
        m_last_relays = context.relays;
        m_next_subscribe = context.now + m_options.subscribe_interval;
        send_subscriptions(context);
    }
}

void domain_exchange::take_role(const domain_context& context)
{
    if (context.is_relay == m_was_relay) {
        return;
    }
    // Silence is judged by other messages in the new role; it starts to count now.
    m_was_relay = context.is_relay;
    m_relay_heard = context.awake;
    for (auto& item : m_domains) {
        if (item.second.reach == reachability::reachable) {
            item.second.heard = context.awake;
        }
    }
}

void domain_exchange::age_domains(const domain_context& context)
{
    const bool relays_silent = context.awake - m_relay_heard > m_options.relays_silent_after;
    for (auto it = m_domains.begin(); it != m_domains.end();) {
        foreign_domain& known = it->second;
        const base::duration silence = context.awake - known.heard;
        if (silence > m_options.removed_after) {
            m_changed = true;
            it = m_domains.erase(it);
            continue;
        }
        const bool silent =
            context.is_relay ? silence > m_options.unreachable_after : relays_silent;
        if (silent) {
            mark(known, reachability::unreachable, context);
        }
        ++it;
    }
}

void domain_exchange::mark(foreign_domain& known, reachability reach, const domain_context& context)
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

void domain_exchange::heard(foreign_domain& known, const domain_context& context)
{
    known.heard = context.awake;
    mark(known, reachability::reachable, context);
}

void domain_exchange::send_hellos(const domain_context& context)
{
    ++m_hellos;
    for (const auto& [domain, known] : m_domains) {
        for (const endpoint& relay : known.relays) {
            send_hello(relay, domain, context);
        }
        // The relays that were known may be gone for good; any node passes a hello on.
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
    const service_subscription wanted = wanted_by_all(context);
    domain_hello hello;
    hello.domain = m_domain;
    hello.sender = m_self;
    hello.relays = context.relays;
    hello.wanted_digest = wanted.digest();
    const foreign_domain* known = find(domain);
    hello.wanted = wanted;
    if (known != nullptr) {
        hello.held = known->members.wanted_digest(wanted);
        auto link = known->links.find(to.node);
        if (link != known->links.end()) {
            hello.known_wanted = link->second.wanted.digest();
            if (link->second.known_wanted == hello.wanted_digest) {
                hello.wanted.reset();
            }
        }
    }
    if (m_hellos % hellos_per_list == 1) {
        for (const auto& [other, state] : m_domains) {
            hello.others.push_back({other, state.relays});
        }
    }
    m_sends.push_back({to, std::move(hello)});
}

void domain_exchange::call_seeds(const domain_context& context)
{
    // Once other failure domains are known, seeds are only asked in case one is missing.
    const bool due = m_domains.empty() || m_hellos % hellos_per_list == 0;
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
    subscribe body{m_self.address, m_wanted, {}, states_digest()};
    for (const auto& [domain, known] : m_domains) {
        body.held.push_back({domain, known.members.wanted_digest(m_wanted)});
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
                wanted_before_or_after(link->second.wanted, before, after)) {
                m_sends.push_back({relay, domain_news{m_domain, {after}}});
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
        domain_hello passed = body;
        passed.passed_on = true;
        if (!body.passed_on) {
            for (const endpoint& relay : context.relays) {
                m_sends.push_back({relay, passed});
            }
        }
        return;
    }
    const bool met = find(body.domain) != nullptr;
    foreign_domain* known = find_or_add(body.domain);
    if (known == nullptr) {
        return;
    }
    known->relays = body.relays;
    std::erase_if(known->links, [&](const auto& item) { return !listed(body.relays, item.first); });
    heard(*known, context);
    for (const domain_relays& other : body.others) {
        meet(other, context);
    }
    // A relay that the other side does not count as one yet is answered, but not remembered.
    relay_link unlisted;
    relay_link& link =
        listed(body.relays, body.sender.node) ? known->links[body.sender.node] : unlisted;
    link.wanted = body.wanted.value_or(link.wanted);
    if (body.held.has_value()) {
        link.known_wanted = body.known_wanted;
    }
    if (!met || !body.held.has_value()) {
        send_hello(body.sender, body.domain, context);
    }
    const bool has_wanted = link.wanted.digest() == body.wanted_digest;
    if (has_wanted && body.held.has_value() &&
        context.members.wanted_digest(link.wanted) != *body.held) {
        send_summary(body.sender, m_domain, context.members, link.wanted, context);
    }
}

void domain_exchange::meet(const domain_relays& place, const domain_context& context)
{
    if (place.domain == m_domain || find(place.domain) != nullptr) {
        return;
    }
    foreign_domain* added = find_or_add(place.domain);
    if (added != nullptr) {
        added->relays = place.relays;
        added->heard = context.awake;
    }
}

void domain_exchange::handle(const base::node_id& from, const subscribe& body,
                             const domain_context& context)
{
    if (context.members.find_alive(from) == nullptr) {
        return;
    }
    m_subscribers[from] = {body.reply_to, body.wanted};
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
        if (theirs != known.members.wanted_digest(body.wanted)) {
            send_summary(to, domain, known.members, body.wanted, context);
        }
    }
}

void domain_exchange::handle(const domain_states& body, const domain_context& context)
{
    m_relay_heard = context.awake;
    if (context.is_relay) {
        return;
    }
    for (auto& item : m_domains) {
        if (body.unchanged && item.second.reach == reachability::reachable) {
            item.second.heard = context.awake;
        }
    }
    for (const domain_state& state : body.states) {
        if (state.place.domain == m_domain) {
            continue;
        }
        foreign_domain* known = find_or_add(state.place.domain);
        if (known == nullptr) {
            continue;
        }
        known->relays = state.place.relays;
        known->heard = state.reach == reachability::reachable ? context.awake : known->heard;
        mark(*known, state.reach, context);
    }
}

void domain_exchange::handle(const domain_news& body, const domain_context& context)
{
    foreign_domain* known = find(body.domain);
    if (known != nullptr && body.domain != m_domain) {
        apply(*known, body.domain, body.records, context);
    }
}

void domain_exchange::handle(const domain_summary& body, const domain_context& context)
{
    foreign_domain* known = body.domain == m_domain ? nullptr : find_or_add(body.domain);
    if (known == nullptr) {
        return;
    }
    const std::optional<std::vector<member_record>> records = known->summaries.add(body);
    if (!records.has_value()) {
        return;
    }
    apply(*known, body.domain, *records, context);
    std::set<base::node_id> present;
    for (const member_record& record : *records) {
        present.insert(record.node);
    }
    for (const base::node_id& node : known->members.alive()) {
        const bool settled = context.now - known->members.changed_at(node) > summary_travel_time;
        if (settled && present.count(node) == 0) {
            remove(*known, body.domain, node);
        }
    }
}

void domain_exchange::remove(foreign_domain& known, const base::failure_domain_id& domain,
                             const base::node_id& node)
{
    const member_record gone = *known.members.find(node);
    known.members.erase(node);
    m_changed = true;
    pass_to_subscribers(domain, &gone, tombstone_of(gone, member_status::dead));
}

void domain_exchange::apply(foreign_domain& known, const base::failure_domain_id& domain,
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
            // Its whole failure domain restarted with a clock set back, so only others remember.
            m_sends.push_back({{record.node, record.messages}, news{{*before}}});
        }
        if (verdict == merge_verdict::ignored || verdict == merge_verdict::refused_full) {
            continue;
        }
        m_changed = true;
        if (context.is_relay) {
            pass_to_subscribers(domain, before.has_value() ? &*before : nullptr, record);
        }
    }
}

void domain_exchange::pass_to_subscribers(const base::failure_domain_id& domain,
                                          const member_record* before, const member_record& after)
{
    for (const auto& [node, held] : m_subscribers) {
        if (wanted_before_or_after(held.wanted, before, after)) {
            m_sends.push_back({{node, held.address}, domain_news{domain, {after}}});
        }
    }
}

void domain_exchange::send_states(const endpoint& to)
{
    m_sends.push_back({to, domain_states{false, states()}});
}

void domain_exchange::send_summary(const endpoint& to, const base::failure_domain_id& domain,
                                   const member_table& members, const service_subscription& wanted,
                                   const domain_context& context)
{
    // One receiver may lack several failure domains, so the limit is per receiver and domain.
    const endpoint key{base::node_id(to.node.value() + '/' + domain.value()), to.address};
    base::time_point& next = m_next_summary[key];
    if (context.now < next) {
        return;
    }
    next = context.now + m_options.summary_interval;
    m_summary = base::sequence_number(m_random());
    const std::vector<member_record> records = members.wanted_records(wanted);
    const std::size_t step = m_options.limits.records_per_message;
    const std::size_t parts = std::max<std::size_t>(1, (records.size() + step - 1) / step);
    for (std::size_t part = 0; part < parts; ++part) {
        domain_summary body{domain,
                            m_summary,
                            static_cast<std::uint32_t>(part),
                            static_cast<std::uint32_t>(parts),
                            {}};
        const std::size_t last = std::min((part + 1) * step, records.size());
        for (std::size_t index = part * step; index < last; ++index) {
            body.records.push_back(records[index]);
        }
        m_sends.push_back({to, std::move(body)});
    }
}

void domain_exchange::prune(const domain_context& context)
{
    for (auto& item : m_domains) {
        item.second.members.drop_tombstones(context.now, m_options.tombstone_retention);
    }
    std::erase_if(m_subscribers, [&](const auto& item) {
        return context.members.find_alive(item.first) == nullptr;
    });
    std::erase_if(m_next_summary, [&](const auto& item) { return item.second < context.now; });
}

service_subscription domain_exchange::wanted_by_all(const domain_context& context) const
{
    service_subscription wanted = m_wanted;
    if (context.is_relay) {
        for (const auto& item : m_subscribers) {
            wanted.add(item.second.wanted);
        }
    }
    return wanted;
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

foreign_domain* domain_exchange::find(const base::failure_domain_id& domain)
{
    auto found = m_domains.find(domain);
    return found == m_domains.end() ? nullptr : &found->second;
}

foreign_domain* domain_exchange::find_or_add(const base::failure_domain_id& domain)
{
    foreign_domain* found = find(domain);
    if (found != nullptr || m_domains.size() >= m_options.limits.failure_domains) {
        return found;
    }
    auto added = m_domains.emplace(domain, foreign_domain(m_options.limits.members_per_domain));
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
        for (const member_record& record : item.second.members.wanted_records(m_wanted)) {
            view.add(record, item.second.reach);
        }
    }
}

std::vector<send> domain_exchange::take_sends()
{
    return std::exchange(m_sends, {});
}

bool domain_exchange::take_changed()
{
    return std::exchange(m_changed, false);
}

} // namespace damaskladder::membership
