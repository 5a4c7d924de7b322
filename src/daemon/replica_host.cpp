#include "daemon/replica_host.hpp"

#include "consensus/posix_file_layer.hpp"
#include "daemon/comma_separated.hpp"
#include "daemon/log.hpp"
#include "daemon/secure_random.hpp"
#include "daemon/wall_clock_now.hpp"

#include <algorithm>
#include <iterator>

namespace damaskladder::daemon {

namespace {

constexpr base::duration tick_interval = std::chrono::milliseconds(20);
// Proposals and claims expire by log time, which advances only with log entries, so an idle leader
// appends one at this interval.
constexpr base::duration log_time_interval = std::chrono::seconds(60);
// Longer than a transfer, during which the leader refuses changes.
constexpr base::duration transfer_interval = std::chrono::seconds(1);
// An election takes longer, so each leader that lasts is logged.
constexpr base::duration cluster_log_interval = std::chrono::milliseconds(100);

bool may_form_cluster(const process_settings& settings)
{
    return !settings.discovers_replicas ||
           (settings.forms_cluster && settings.replicas.contains(settings.name));
}

std::string names_of(const consensus::configuration& members, consensus::member_role role)
{
    return comma_separated(members.members, [role](const consensus::member& each) {
        return each.role == role ? each.identity.id.value() : std::string();
    });
}

consensus::replica_options make_options(const process_settings& settings)
{
    consensus::replica_options options;
    if (may_form_cluster(settings)) {
        for (const auto& [name, address] : settings.replicas) {
            options.initial_replicas.emplace_back(name.value());
        }
    }
    options.tick_interval = tick_interval;
    return options;
}

} // namespace

replica_host::replica_host(http::event_loop& loop, const process_settings& settings,
                           hooks callbacks)
    : m_loop(loop), m_settings(settings), m_hooks(std::move(callbacks))
{
}

base::result<void> replica_host::start()
{
    consensus::file_storage_options options;
    options.id = consensus::replica_id(m_settings.name.value());
    options.initial_replicas = make_options(m_settings).initial_replicas;
    BOOST_LEAF_AUTO(storage, consensus::file_storage::open(
                                 options, consensus::posix_file_layer(m_settings.replica->data),
                                 secure_random()));
    auto recovered = storage->take_recovered_state();
    // Also known from an earlier start that ended before the cluster had formed.
    m_forms_cluster = !recovered.initial_replicas.empty();
    m_replica = std::make_unique<control::control_replica>(
        make_options(m_settings), std::move(recovered), control::state_options{}, secure_random());
    m_storage =
        std::make_unique<storage_thread>(std::move(storage), [this](consensus::event new_event) {
            m_loop.post([this, new_event = std::move(new_event)] { step(new_event); });
        });
    perform(m_replica->start(http::event_loop::now()));
    tick();
    return {};
}

void replica_host::tick()
{
    const auto now = http::event_loop::now();
    step(consensus::tick{});
    transfer_if_due();
    advance_log_time();
    log_cluster_changes();
    m_loop.call_at(m_loop.next_multiple(tick_interval, now), [this] { tick(); });
}

void replica_host::advance_log_time()
{
    const auto now = http::event_loop::now();
    if (leads() && now >= m_next_log_time) {
        m_next_log_time = now + log_time_interval;
        submit(control::advance_time{}, [](const auto&) {});
    }
}

void replica_host::log_cluster_changes()
{
    const auto now = http::event_loop::now();
    if (now < m_next_cluster_log) {
        return;
    }
    m_next_cluster_log = now + cluster_log_interval;
    const auto status = m_replica->status();
    const auto term = std::to_string(status.term.value());
    if (status.known_leader != m_logged_leader) {
        m_logged_leader = status.known_leader;
        log(log_level::info, m_logged_leader ? "leader_known" : "leader_unknown",
            {{"leader", m_logged_leader ? m_logged_leader->value() : ""},
             {"term", term},
             {"role", std::string(to_string(status.role))}});
    }
    if (status.members != m_logged_members) {
        m_logged_members = status.members;
        log(log_level::info, "replica_members",
            {{"voters", names_of(status.members, consensus::member_role::voter)},
             {"learners", names_of(status.members, consensus::member_role::learner)},
             {"quorum", std::to_string(status.members.quorum())},
             {"last_index", std::to_string(status.last_index.value())},
             {"commit_index", std::to_string(status.commit_index.value())},
             {"term", term}});
    }
}

void replica_host::receive(consensus::envelope message)
{
    step(consensus::message_received{std::move(message)});
}

void replica_host::submit(const control::command& entry, submit_done done)
{
    const control::submission_id id(++m_last_submission);
    m_submissions[id] = std::move(done);
    perform(m_replica->submit(id, entry, wall_clock_now(), http::event_loop::now()));
}

void replica_host::change_members(consensus::membership_change wanted, submit_done done)
{
    const control::submission_id id(++m_last_submission);
    m_submissions[id] = std::move(done);
    perform(m_replica->change_members(id, std::move(wanted), http::event_loop::now()));
}

void replica_host::query(query_done done)
{
    const control::submission_id id(++m_last_submission);
    m_queries[id] = std::move(done);
    perform(m_replica->query(id, http::event_loop::now()));
}

std::vector<base::node_id> replica_host::voters() const
{
    std::vector<base::node_id> names;
    for (const auto& member : m_replica->status().members.members) {
        if (member.role == consensus::member_role::voter) {
            names.emplace_back(member.identity.id.value());
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

void replica_host::transfer_leadership()
{
    m_next_transfer = http::event_loop::now();
    transfer_if_due();
}

void replica_host::transfer_if_due()
{
    const auto now = http::event_loop::now();
    if (m_next_transfer && now >= *m_next_transfer && leads()) {
        m_next_transfer = now + transfer_interval;
        step(consensus::transfer_requested{});
    }
}

void replica_host::step(consensus::event new_event)
{
    if (const auto* failed = std::get_if<consensus::storage_failed>(&new_event)) {
        log_failure(log_level::error, "storage_failed", failed->cause);
    }
    perform(m_replica->handle(std::move(new_event), http::event_loop::now()));
}

void replica_host::perform(control::control_replica::effects effects)
{
    std::move(effects.begin(), effects.end(), std::back_inserter(m_effects));
    if (m_performing) {
        return;
    }
    m_performing = true;
    while (!m_effects.empty()) {
        auto next = std::move(m_effects.front());
        m_effects.pop_front();
        std::visit(
            [&](auto& effect) {
                using kind = std::decay_t<decltype(effect)>;
                if constexpr (std::is_same_v<kind, consensus::send_message>) {
                    m_hooks.send(effect.content);
                }
                else if constexpr (std::is_same_v<kind, consensus::persist_vote> ||
                                   std::is_same_v<kind, consensus::persist_entries> ||
                                   std::is_same_v<kind, consensus::persist_snapshot>) {
                    m_storage->add(std::move(effect));
                }
                else if constexpr (std::is_same_v<kind, control::settings_version_changed>) {
                    m_hooks.settings_changed(effect.version);
                }
                else {
                    perform(effect);
                }
            },
            next);
    }
    m_performing = false;
}

void replica_host::perform(const control::submission_answered& effect)
{
    const auto found = m_submissions.find(effect.id);
    if (found != m_submissions.end()) {
        const auto done = std::move(found->second);
        m_submissions.erase(found);
        done(effect.answer);
    }
}

void replica_host::perform(const control::submission_refused& effect)
{
    const auto submission = m_submissions.find(effect.id);
    if (submission != m_submissions.end()) {
        const auto done = std::move(submission->second);
        m_submissions.erase(submission);
        done(effect);
        return;
    }
    const auto query = m_queries.find(effect.id);
    if (query != m_queries.end()) {
        const auto done = std::move(query->second);
        m_queries.erase(query);
        done(&effect);
    }
}

void replica_host::perform(const control::query_confirmed& effect)
{
    const auto found = m_queries.find(effect.id);
    if (found != m_queries.end()) {
        const auto done = std::move(found->second);
        m_queries.erase(found);
        done(nullptr);
    }
}

void replica_host::perform(const control::leadership_changed& effect)
{
    log(log_level::info, effect.leads ? "became_leader" : "stepped_down",
        {{"term", std::to_string(m_replica->status().term.value())}});
    if (effect.leads) {
        create_first_admin();
    }
}

void replica_host::create_first_admin()
{
    const auto& wanted = *m_settings.replica;
    if (wanted.admin.value().empty() || !m_replica->state().credentials().empty()) {
        return;
    }
    control::create_credential command;
    command.header = {base::change_id("first-admin"), wanted.admin, wall_clock_now()};
    command.created.name = wanted.admin;
    command.created.role = control::credential_role::admin;
    command.created.token = control::token_hash(control::digest{wanted.admin_token.bytes});
    submit(command, [](const auto&) {});
}

} // namespace damaskladder::daemon
