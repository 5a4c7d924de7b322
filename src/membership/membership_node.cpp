#include "membership/membership_node.hpp"

#include "membership/message_check.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <set>
#include <utility>

namespace damaskladder::membership {

namespace {

constexpr std::size_t relay_count = 2;
/// Number of heartbeats on which a leaving node repeats its tombstone.
constexpr std::size_t leave_repeat_count = 3;
/// Number of suspecting observers to which a node reacts with a higher incarnation. A single
/// observer may suspect it because of a permanently broken link, which would cause endless updates.
constexpr std::size_t suspicions_to_refute = 2;
constexpr base::duration suspicion_refutation_interval = std::chrono::seconds(5);
constexpr base::duration suspicion_validity = std::chrono::seconds(1);
constexpr base::duration cleanup_interval = std::chrono::seconds(10);
/// Time after the start during which records received in a repair are not forwarded.
constexpr base::duration join_suppression_time = std::chrono::seconds(2);

member_record first_record(const node_identity& identity)
{
    member_record record;
    record.node = identity.node;
    record.domain = identity.domain;
    record.incarnation = identity.start_incarnation;
    record.version = record_version(1);
    record.messages = identity.messages;
    record.traffic = identity.traffic;
    record.vm_domain = identity.vm_domain;
    return record;
}

endings_recovery::options recovery_options(const membership_options& options)
{
    return {options.endings_interval, options.alone_after, options.endings_majority_wait,
            options.endings_retention};
}

base::incarnation next_incarnation(base::incarnation earlier)
{
    return base::incarnation(earlier.value() + 1);
}

} // namespace

membership_node::membership_node(const node_identity& identity, membership_options options,
                                 base::random_source random)
    : m_options(std::move(options)),
      m_random(std::move(random)),
      m_self(first_record(identity)),
      m_table(m_options.limits.members_per_domain),
      m_rings({}, m_options.observer_count),
      m_detector(m_self.node, m_options.detector),
      m_active_clock(m_options.tick_interval),
      m_repairs(m_options.sync_interval, m_options.sync_after),
      m_pending_tombstones(m_options.refutation_timeout),
      m_refutation(m_options.max_refutation_delay),
      m_domains({m_self.node, m_self.messages}, m_self.domain, m_options.domains, m_random),
      m_process(identity.start_incarnation),
      m_kept_endings({m_options.endings_retention, m_options.limits.kept_endings,
                      m_options.limits.kept_endings_per_node}),
      m_confirmation(m_options.endings_interval),
      m_recovery(recovery_options(m_options)),
      m_urgent(m_options.urgent_interval),
      m_source(m_self.node),
      m_view(std::make_shared<const service_view>())
{
}

effects membership_node::start(base::time_point now)
{
    begin_event(now);
    const auto interval = static_cast<std::uint64_t>(m_options.heartbeat_interval.count());
    m_next_heartbeat = now + base::duration(static_cast<std::int64_t>(m_random() % interval));
    reset_members();
    try_join();
    return finish_event();
}

effects membership_node::tick(base::time_point now)
{
    begin_event(now);
    if (m_left) {
        send_heartbeats();
        return finish_event();
    }
    refute();
    try_join();
    run_detector();
    apply_unrefuted_tombstones();
    if (now >= m_next_cleanup) {
        m_next_cleanup = now + cleanup_interval;
        m_table.drop_tombstones(now, m_options.tombstone_retention);
    }
    if (m_pending_load.has_value()) {
        set_load(*m_pending_load, now);
    }
    m_domains.tick(context());
    send_heartbeats();
    return finish_event();
}

effects membership_node::receive(const base::node_id& from, const message& body,
                                 base::time_point now)
{
    begin_event(now);
    if (!acceptable(body, m_options.limits)) {
        ++m_refused;
        return finish_event();
    }
    if (from != m_self.node && !m_left) {
        m_source = from;
        m_last_received = m_active_clock.elapsed();
        std::visit([&](const auto& content) { handle(from, content); }, body);
    }
    return finish_event();
}

effects membership_node::set_backends(std::vector<backend_server> backends, base::time_point now,
                                      std::vector<run_ending> endings)
{
    begin_event(now);
    if (backends.size() > m_options.limits.backends_per_node) {
        backends.resize(m_options.limits.backends_per_node);
    }
    const auto max_endings = m_options.limits.run_endings_per_node;
    if (endings.size() > max_endings) {
        endings.erase(endings.begin(), endings.end() - static_cast<std::ptrdiff_t>(max_endings));
    }
    const bool new_endings = endings != m_self.run_endings;
    if (!m_left && (backends != m_self.backends || new_endings)) {
        m_self.backends = std::move(backends);
        m_self.run_endings = std::move(endings);
        if (new_endings) {
            m_confirmation.begin_list();
        }
        publish_self(m_self.incarnation);
    }
    return finish_event();
}

effects membership_node::set_load(load_level load, base::time_point now)
{
    begin_event(now);
    m_pending_load.reset();
    if (m_left || load == m_self.load) {
        return finish_event();
    }
    if (now < m_next_load) {
        m_pending_load = load;
        return finish_event();
    }
    m_next_load = now + m_options.load_interval;
    m_self.load = load;
    m_self.version = record_version(m_self.version.value() + 1);
    merge_record(m_self.node, m_self);
    return finish_event();
}

effects membership_node::set_subscription(service_subscription subscription, base::time_point now)
{
    begin_event(now);
    m_domains.set_subscription(std::move(subscription));
    return finish_event();
}

effects membership_node::leave(base::time_point now)
{
    begin_event(now);
    if (!m_left) {
        refresh_rings();
        m_left = true;
        m_leave_repeats_left = leave_repeat_count;
        m_self = tombstone_of(m_self, member_status::left);
        m_urgent.add(m_self, m_self.node);
        send_urgent();
        m_next_heartbeat = now + m_options.tick_interval;
    }
    return finish_event();
}

void membership_node::begin_event(base::time_point now)
{
    m_now = std::max(m_now, now);
    const base::duration gap = m_active_clock.advance(m_now);
    if (!m_left && gap > m_options.tombstone_retention / 2) {
        reset_members();
    }
}

void membership_node::reset_members()
{
    m_table = member_table(m_options.limits.members_per_domain);
    m_table.merge(m_self, m_now);
    m_next_join = m_now;
    m_suppress_forwarding_until = m_now + join_suppression_time;
    m_rings_stale = true;
    m_view_stale = true;
}

effects membership_node::finish_event()
{
    m_source = m_self.node;
    // Uses the rings from before the change: a node that was removed must still hear of it, and a
    // new node receives all records in answer to its join.
    if (m_urgent.is_due(m_now)) {
        send_urgent();
    }
    for (send& item : m_domains.take_pending_sends()) {
        m_sends.push_back(std::move(item));
    }
    m_view_stale = m_domains.take_changed() || m_view_stale;
    if (!m_left) {
        refresh_rings();
        refresh_view();
        exchange_endings();
    }
    effects result{std::move(m_sends), m_view_changed, std::move(m_recovered_endings)};
    m_sends.clear();
    m_recovered_endings.clear();
    m_view_changed = false;
    return result;
}

void membership_node::handle(const base::node_id& from, const heartbeat& body)
{
    for (const member_record& record : body.updates) {
        merge_record(from, record);
    }
    const member_record* known = m_table.find(from);
    if (known == nullptr || known->incarnation < body.incarnation) {
        if (m_repairs.try_start_repair(m_now)) {
            request_sync(from, body.reply_to);
        }
        return;
    }
    if (known->incarnation > body.incarnation || known->status != member_status::alive) {
        send_to(from, body.reply_to, member_update{{*known}});
        return;
    }
    m_detector.on_heartbeat(from, body.incarnation, body.sequence, m_active_clock.elapsed());
    if (m_repairs.compare(from, body.digest, m_table.digest(), m_now)) {
        request_sync(from, body.reply_to);
    }
}

void membership_node::handle(const base::node_id& from, const member_update& body)
{
    for (const member_record& record : body.records) {
        merge_record(from, record);
    }
}

void membership_node::handle(const base::node_id& from, const probe& body)
{
    send_to(from, body.reply_to, make_heartbeat({}));
}

void membership_node::handle(const base::node_id& from, const observer_vote& body)
{
    if (body.subject == m_self.node) {
        handle_suspicion(from, body);
        return;
    }
    const member_record* known = m_table.find(body.subject);
    if (known == nullptr) {
        return;
    }
    if (known->incarnation > body.incarnation || known->status != member_status::alive) {
        send_to(from, body.reply_to, member_update{{*known}});
        return;
    }
    const base::duration active_time = m_active_clock.elapsed();
    m_detector.on_vote(from, body.subject, body.incarnation, body.verdict, active_time);
    if (body.verdict == observer_verdict::suspects &&
        m_detector.confirms_alive(body.subject, active_time)) {
        send_to(from, body.reply_to,
                observer_vote{body.subject, known->incarnation, observer_verdict::confirms,
                              m_self.messages});
    }
}

void membership_node::handle(const base::node_id& from, const join& body)
{
    const member_record& joiner = body.joiner;
    if ((joiner.node != from && !body.forwarded) || joiner.node == m_self.node) {
        return;
    }
    if (joiner.domain != m_self.domain) {
        for (const endpoint& relay : m_domains.relays_of(joiner.domain)) {
            if (!body.forwarded) {
                send_to(relay.node, relay.address, join{joiner, body.alone, true});
            }
        }
        return;
    }
    merge_record(from, joiner);
    const bool joiner_knows_self =
        body.forwarded && !body.alone && m_table.find_alive(joiner.node) != nullptr;
    if (!joiner_knows_self) {
        send_records({joiner.node, joiner.messages}, m_table.records());
    }
}

void membership_node::handle(const base::node_id& from, const keep_endings& body)
{
    m_kept_endings.keep(from, body.endings, m_now);
    send_to(from, body.reply_to, endings_kept{body.process, body.number, m_self.incarnation});
}

void membership_node::handle(const base::node_id& from, const endings_kept& body)
{
    if (body.process == m_process) {
        m_confirmation.on_kept(from, body.number, body.holder);
    }
}

void membership_node::handle(const base::node_id& from, const endings_query& body)
{
    if (const member_record* known = m_table.find(from)) {
        m_kept_endings.keep(from, known->run_endings, m_now);
    }
    send_to(from, body.reply_to, endings_reply{body.process, m_kept_endings.of(from, m_now)});
}

void membership_node::handle(const base::node_id& from, const endings_reply& body)
{
    if (body.process == m_process) {
        m_recovery.on_reply(from);
        recover_endings(body.endings);
    }
}

void membership_node::recover_endings(const std::vector<run_ending>& endings)
{
    const auto& known = m_self.run_endings;
    std::copy_if(endings.begin(), endings.end(), std::back_inserter(m_recovered_endings),
                 [&](const run_ending& ending) {
                     return std::find(known.begin(), known.end(), ending) == known.end();
                 });
}

void membership_node::exchange_endings()
{
    const auto& observers = m_rings.observers_of(m_self.node);
    const base::time_point active_time(m_active_clock.elapsed());
    m_recovery.update(observers, active_time);
    for (const base::node_id& observer : m_recovery.due(observers, active_time)) {
        send_to_member(observer, endings_query{m_process, m_self.messages});
    }
    if (!m_self.run_endings.empty()) {
        for (const base::node_id& observer : m_confirmation.due(ending_holders(), m_now)) {
            send_to_member(observer, keep_endings{m_process, m_confirmation.newest(),
                                                  m_self.run_endings, m_self.messages});
        }
    }
}

std::vector<endings_confirmation::holder> membership_node::ending_holders() const
{
    std::vector<endings_confirmation::holder> holders;
    for (const base::node_id& observer : m_rings.observers_of(m_self.node)) {
        if (const member_record* known = m_table.find(observer)) {
            holders.push_back({observer, known->incarnation});
        }
    }
    return holders;
}

endings_number membership_node::confirmed_endings() const
{
    const bool nothing_to_hold = m_self.run_endings.empty() ||
                                 m_recovery.is_alone(base::time_point(m_active_clock.elapsed()));
    return nothing_to_hold ? m_confirmation.newest()
                           : m_confirmation.held_by_majority(ending_holders());
}

void membership_node::handle(const base::node_id& /*from*/, const domain_hello& body)
{
    m_domains.handle(body, context());
}

void membership_node::handle(const base::node_id& /*from*/, const domain_update& body)
{
    m_domains.handle(body, context());
}

void membership_node::handle(const base::node_id& /*from*/, const domain_summary& body)
{
    m_domains.handle(body, context());
}

void membership_node::handle(const base::node_id& from, const subscribe& body)
{
    m_domains.handle(from, body, context());
}

void membership_node::handle(const base::node_id& /*from*/, const domain_states& body)
{
    m_domains.handle(body, context());
}

domain_context membership_node::context() const
{
    return {m_table, relays(), is_relay(), m_options.seeds, m_now, m_active_clock.elapsed()};
}

void membership_node::handle(const base::node_id& from, const sync_request& body)
{
    send_records({from, body.reply_to}, m_table.differing_records(body.buckets));
}

void membership_node::handle(const base::node_id& from, const sync_records& body)
{
    // Records that a node receives while it joins are already known to the other members.
    m_suppress_forwarding = m_now < m_suppress_forwarding_until;
    std::vector<member_record> newer_records;
    for (const member_record& record : body.records) {
        const member_record* known = m_table.find(record.node);
        if (known != nullptr && record.node != m_self.node && supersedes(*known, record)) {
            newer_records.push_back(*known);
        }
        merge_synced_record(from, record);
    }
    m_suppress_forwarding = false;
    if (!newer_records.empty()) {
        send_records({from, body.reply_to}, newer_records);
    }
}

void membership_node::merge_record(const base::node_id& from, const member_record& record)
{
    if (record.domain != m_self.domain) {
        return;
    }
    if (record.node == m_self.node && from != m_self.node) {
        check_own_record(from, record);
        return;
    }
    const member_record* held = m_table.find(record.node);
    const std::optional<member_record> before =
        held == nullptr ? std::nullopt : std::optional(*held);
    const merge_verdict verdict = m_table.merge(record, m_now);
    if (verdict == merge_verdict::ignored || verdict == merge_verdict::refused_full) {
        return;
    }
    if (before.has_value() && before->incarnation < record.incarnation) {
        m_kept_endings.keep(record.node, before->run_endings, m_now);
    }
    m_view_stale = true;
    m_domains.member_changed(before.has_value() ? &*before : nullptr, record, context());
    m_pending_tombstones.discard(record.node);
    if (!m_suppress_forwarding) {
        m_update_queue.add(record.node);
    }
    if (verdict == merge_verdict::load_only) {
        return;
    }
    if (!m_suppress_forwarding) {
        m_urgent.add(record, m_source);
    }
    if (verdict == merge_verdict::added) {
        m_detector.on_incarnation(record.node, record.incarnation, m_active_clock.elapsed());
        m_rings_stale = true;
    }
    if (verdict == merge_verdict::removed) {
        m_repairs.forget(record.node);
        m_rings_stale = true;
    }
}

void membership_node::merge_synced_record(const base::node_id& from, const member_record& record)
{
    const member_record* alive = m_table.find_alive(record.node);
    const bool marks_alive_member_dead = alive != nullptr && record.node != m_self.node &&
                                         record.status == member_status::dead &&
                                         supersedes(record, *alive);
    if (!marks_alive_member_dead) {
        merge_record(from, record);
        return;
    }
    if (m_pending_tombstones.add(record, m_now)) {
        send_to_member(record.node, member_update{{record}});
    }
}

void membership_node::check_own_record(const base::node_id& from, const member_record& record)
{
    recover_endings(record.run_endings);
    const bool same_order =
        record.incarnation == m_self.incarnation && record.version == m_self.version;
    const bool from_other_run = same_order && record != m_self;
    if (!supersedes(record, m_self) && !from_other_run) {
        return;
    }
    m_highest_seen_incarnation = std::max(m_highest_seen_incarnation, record.incarnation);
    m_refutation_receiver = from;
    m_refutation.schedule(m_now);
    refute();
}

void membership_node::refute()
{
    if (!m_refutation.take_due(m_now) || m_highest_seen_incarnation < m_self.incarnation) {
        return;
    }
    publish_self(next_incarnation(m_highest_seen_incarnation));
    send_to_member(m_refutation_receiver, member_update{{m_self}});
}

void membership_node::handle_suspicion(const base::node_id& from, const observer_vote& body)
{
    send_to(from, body.reply_to, make_heartbeat({}));
    if (body.verdict != observer_verdict::suspects || body.incarnation != m_self.incarnation) {
        return;
    }
    const auto& observers = m_rings.observers_of(m_self.node);
    if (std::find(observers.begin(), observers.end(), from) == observers.end()) {
        return;
    }
    std::erase_if(m_suspecting,
                  [&](const auto& item) { return m_now - item.second > suspicion_validity; });
    m_suspecting[from] = m_now;
    const std::size_t required = std::min(suspicions_to_refute, observers.size() / 2 + 1);
    if (m_suspecting.size() < required || m_now < m_next_suspicion_refutation) {
        return;
    }
    m_next_suspicion_refutation = m_now + suspicion_refutation_interval;
    m_suspecting.clear();
    publish_self(next_incarnation(m_self.incarnation));
}

void membership_node::publish_self(base::incarnation incarnation)
{
    m_self.incarnation = incarnation;
    m_self.version = record_version(m_self.version.value() + 1);
    m_source = m_self.node;
    merge_record(m_self.node, m_self);
}

void membership_node::try_join()
{
    if (m_now < m_next_join) {
        return;
    }
    if (m_table.alive_count() <= 1) {
        m_next_join = m_now + m_options.join_interval;
        for (const base::message_address& seed : m_options.seeds) {
            send_join(seed);
        }
        return;
    }
    m_next_join = m_now + m_options.rejoin_interval;
    if (!is_relay()) {
        return;
    }
    const std::vector<base::message_address> candidates = rejoin_candidates();
    if (!candidates.empty()) {
        send_join(candidates[m_random() % candidates.size()]);
    }
}

void membership_node::send_join(const base::message_address& address)
{
    if (address != m_self.messages) {
        send_to(base::node_id(), address, join{m_self, m_table.alive_count() <= 1, false});
    }
}

std::vector<base::message_address> membership_node::rejoin_candidates() const
{
    std::set<base::message_address> alive;
    for (const base::node_id& node : m_table.alive()) {
        alive.insert(m_table.find(node)->messages);
    }
    std::set<base::message_address> candidates(m_options.seeds.begin(), m_options.seeds.end());
    for (const base::node_id& node : m_table.dead()) {
        candidates.insert(m_table.find(node)->messages);
    }
    std::erase_if(candidates, [&](const auto& address) { return alive.count(address) > 0; });
    return {candidates.begin(), candidates.end()};
}

void membership_node::run_detector()
{
    refresh_rings();
    const base::duration active_time = m_active_clock.elapsed();
    for (const detector_action& action : m_detector.due_actions(active_time)) {
        switch (action.type) {
        case detector_action::kind::probe:
            send_to_member(action.subject, probe{m_self.messages});
            break;
        case detector_action::kind::cast_vote:
            cast_vote(action.subject);
            break;
        case detector_action::kind::declare_dead:
        case detector_action::kind::declare_unconfirmed:
            declare_dead(action.subject);
            break;
        }
    }
}

void membership_node::cast_vote(const base::node_id& subject)
{
    const member_record* known = m_table.find_alive(subject);
    if (known == nullptr) {
        return;
    }
    const observer_vote vote{subject, known->incarnation, observer_verdict::suspects,
                             m_self.messages};
    send_to_member(subject, vote);
    for (const base::node_id& observer : m_rings.observers_of(subject)) {
        if (observer != m_self.node) {
            send_to_member(observer, vote);
        }
    }
}

void membership_node::declare_dead(const base::node_id& subject)
{
    const member_record* known = m_table.find_alive(subject);
    if (known == nullptr) {
        return;
    }
    const member_record tombstone = tombstone_of(*known, member_status::dead);
    // A node that receives no messages at all may itself be the faulty one, so it applies the
    // tombstone locally but does not forward it.
    m_suppress_forwarding =
        m_active_clock.elapsed() - m_last_received >= m_options.detector.suspect_after;
    if (!m_suppress_forwarding) {
        send_to_member(subject, member_update{{tombstone}});
    }
    merge_record(m_self.node, tombstone);
    m_suppress_forwarding = false;
}

void membership_node::apply_unrefuted_tombstones()
{
    for (const member_record& tombstone : m_pending_tombstones.take_unrefuted(m_now)) {
        merge_record(m_self.node, tombstone);
    }
}

void membership_node::send_heartbeats()
{
    if (m_now < m_next_heartbeat) {
        return;
    }
    m_next_heartbeat = std::max(m_next_heartbeat + m_options.heartbeat_interval, m_now);
    if (m_left) {
        m_next_heartbeat = m_now + m_options.tick_interval;
        if (m_leave_repeats_left > 0) {
            --m_leave_repeats_left;
            m_urgent.add(m_self, m_self.node);
            send_urgent();
        }
        return;
    }
    refresh_rings();
    std::vector<member_record> records;
    for (const base::node_id& node : m_update_queue.take(m_options.limits.records_per_message)) {
        const member_record* known = m_table.find(node);
        if (known != nullptr) {
            records.push_back(*known);
        }
    }
    const heartbeat own_heartbeat = make_heartbeat(std::move(records));
    for (const base::node_id& observer : m_rings.observers_of(m_self.node)) {
        send_to_member(observer, own_heartbeat);
    }
}

heartbeat membership_node::make_heartbeat(std::vector<member_record> records)
{
    m_sequence = base::sequence_number(m_sequence.value() + 1);
    return {m_self.incarnation, m_sequence, m_self.messages, m_table.digest(), std::move(records)};
}

void membership_node::send_to(const base::node_id& to, const base::message_address& address,
                              message body)
{
    m_sends.push_back({{to, address}, std::move(body)});
}

void membership_node::send_to_member(const base::node_id& node, message body)
{
    const member_record* known = m_table.find(node);
    if (known != nullptr && node != m_self.node) {
        send_to(node, known->messages, std::move(body));
    }
}

void membership_node::send_records(const endpoint& to, const std::vector<member_record>& records)
{
    const std::size_t batch_size = m_options.limits.records_per_message;
    for (std::size_t first = 0; first < records.size(); first += batch_size) {
        const std::size_t last = std::min(first + batch_size, records.size());
        send_to(to.node, to.address,
                sync_records{m_self.messages,
                             {records.begin() + static_cast<std::ptrdiff_t>(first),
                              records.begin() + static_cast<std::ptrdiff_t>(last)}});
    }
}

void membership_node::send_urgent()
{
    const auto updates = m_urgent.take(m_now);
    const std::size_t batch_size = m_options.limits.records_per_message;
    for (const base::node_id& observer : m_rings.observers_of(m_self.node)) {
        member_update body;
        for (const auto& next : updates) {
            if (next.source == observer) {
                continue;
            }
            body.records.push_back(next.record);
            if (body.records.size() == batch_size) {
                send_to_member(observer, std::exchange(body, {}));
            }
        }
        if (!body.records.empty()) {
            send_to_member(observer, std::move(body));
        }
    }
}

void membership_node::request_sync(const base::node_id& from, const base::message_address& address)
{
    send_to(from, address, sync_request{m_self.messages, m_table.buckets()});
}

void membership_node::refresh_rings()
{
    // A rebuild takes about 0.3 ms with 373 members, so a burst of changes shares one rebuild.
    if (!m_rings_stale || m_now < m_next_rings) {
        return;
    }
    m_rings_stale = false;
    m_next_rings = m_now + m_options.tick_interval;
    const bool had_observers = !m_rings.observers_of(m_self.node).empty();
    m_rings = observer_rings(m_table.alive(), m_options.observer_count);
    m_detector.observe(
        m_rings, [&](const base::node_id& node) { return m_table.find(node)->incarnation; },
        m_active_clock.elapsed());
    if (!had_observers && !m_rings.observers_of(m_self.node).empty()) {
        // Sends the own record, which was published before there were observers to send it to.
        m_urgent.add(m_self, m_self.node);
        send_urgent();
    }
}

void membership_node::refresh_view()
{
    if (!m_view_stale || m_now < m_next_view) {
        return;
    }
    m_view_stale = false;
    m_next_view = m_now + m_options.view_interval;
    auto next = std::make_shared<service_view>();
    for (const member_record& record : m_table.records()) {
        next->add(record, reachability::reachable);
    }
    m_domains.add_to(*next);
    if (*next != *m_view) {
        m_view = std::move(next);
        m_view_changed = true;
    }
}

std::vector<endpoint> membership_node::relays() const
{
    std::vector<endpoint> found;
    for (const base::node_id& node : m_table.first_alive(relay_count)) {
        found.push_back({node, m_table.find(node)->messages});
    }
    return found;
}

bool membership_node::is_relay() const
{
    const std::vector<base::node_id> first = m_table.first_alive(relay_count);
    return std::find(first.begin(), first.end(), m_self.node) != first.end();
}

} // namespace damaskladder::membership
