#include "daemon/propagation_host.hpp"

#include "daemon/comma_separated.hpp"
#include "daemon/log.hpp"
#include "daemon/secure_random.hpp"
#include "propagation/choose_upstreams.hpp"
#include "settings/ini_reader.hpp"
#include "settings/ini_writer.hpp"
#include "wire/compression.hpp"

namespace damaskladder::daemon {

namespace {

// A process with a replica serves other processes.
constexpr base::duration replica_tick_interval = std::chrono::milliseconds(50);
constexpr base::duration node_tick_interval = std::chrono::milliseconds(100);
// Minimum advance of the confirmation time before a new view is published. Smaller steps cost
// processor time; larger ones bring a slow node closer to max_staleness.
constexpr base::duration min_confirmation_advance = std::chrono::milliseconds(200);
// Age of the settings from which a node reports that they are unconfirmed: three polls in a row
// brought nothing newer.
constexpr base::duration unconfirmed_after = std::chrono::milliseconds(1500);
constexpr base::duration unconfirmed_log_interval = std::chrono::seconds(5);
constexpr std::int64_t unanswered_lines_per_second = 1;

propagation::propagation_options make_options(const process_settings& settings)
{
    propagation::propagation_options options;
    options.self = {settings.name, base::message_address(to_string(settings.messages))};
    options.domain = settings.domain;
    return options;
}

std::string names_of(const std::vector<propagation::peer>& peers)
{
    return comma_separated(peers, [](const propagation::peer& each) { return each.node.value(); });
}

propagation::settings_copy copy_of(const settings::setting_tree& tree)
{
    return {tree.version(), propagation::settings_bytes(wire::compress(settings::write_ini(tree)))};
}

/// Whole milliseconds, or "none".
std::string milliseconds_text(const std::optional<base::duration>& time)
{
    using std::chrono::milliseconds;
    return time ? std::to_string(std::chrono::duration_cast<milliseconds>(*time).count()) : "none";
}

} // namespace

propagation_host::propagation_host(http::event_loop& loop, messenger& messages,
                                   const process_settings& settings, replica_directory& directory,
                                   replica_host* replica, hooks callbacks)
    : m_loop(loop),
      m_messages(messages),
      m_settings(settings),
      m_directory(directory),
      m_replica(replica),
      m_hooks(std::move(callbacks)),
      m_own_source(settings.name.value() + "/control"),
      m_relay(make_options(settings), make_settings_hooks(), secure_random()),
      m_confirmations(unconfirmed_after, unconfirmed_log_interval),
      m_unanswered_log_limiter(unanswered_lines_per_second)
{
    if (m_replica != nullptr) {
        m_source.emplace(make_options(settings), [this] { return copy_of_replica(); });
    }
    m_messages.on_message<propagation::message>(
        wire::message_kind::propagation,
        [this](const auto& sender, const auto& body) { receive(sender, body); });
}

void propagation_host::start()
{
    if (m_replica != nullptr) {
        replica_changed(m_replica->replica().state().tree().version());
    }
    tick();
}

void propagation_host::tick()
{
    const auto now = http::event_loop::now();
    const auto status =
        m_replica == nullptr ? consensus::replica_status() : m_replica->replica().status();
    update_replicas(status.members);
    if (m_settings.node) {
        update_upstreams(status.known_leader);
        perform_relay(m_relay.tick(now));
        confirm();
        log_confirmation(now);
    }
    if (m_source) {
        perform_source(m_source->tick(now));
    }
    const auto interval = m_replica == nullptr ? node_tick_interval : replica_tick_interval;
    m_loop.call_at(m_loop.next_multiple(interval, now), [this] { tick(); });
}

void propagation_host::update_replicas(const consensus::configuration& members)
{
    learn_members(members);
    const auto& known = m_relay.replicas();
    if (!m_directory.update(known)) {
        return;
    }
    if (m_source) {
        m_source->set_replicas(known);
    }
    log(log_level::info, "replicas_known",
        {{"list", std::to_string(known.version.value())}, {"replicas", names_of(known.replicas)}});
}

void propagation_host::learn_members(const consensus::configuration& members)
{
    propagation::replica_list present{propagation::replica_list_version(members.id.value()), {}};
    if (present.version <= m_relay.replicas().version) {
        return;
    }
    for (const auto& member : members.members) {
        const base::node_id name(member.identity.id.value());
        const auto address = m_directory.address_of(name);
        if (member.role == consensus::member_role::voter && address) {
            present.replicas.push_back({name, *address});
        }
    }
    m_relay.learn_replicas(present);
}

void propagation_host::update_upstreams(const std::optional<consensus::replica_id>& leader)
{
    propagation::upstream_candidates known;
    known.leader = leader ? peer_of(*leader) : std::nullopt;
    known.replicas = m_directory.others();
    m_hooks.add_nearby(known);
    m_relay.node().set_upstreams(propagation::choose_upstreams(known));
}

std::optional<propagation::peer>
propagation_host::peer_of(const consensus::replica_id& leader) const
{
    const base::node_id name(leader.value());
    if (name == m_settings.name) {
        return propagation::peer{m_own_source,
                                 base::message_address(to_string(m_settings.messages))};
    }
    const auto address = m_directory.address_of(name);
    return address ? std::optional(propagation::peer{name, *address}) : std::nullopt;
}

void propagation_host::confirm()
{
    const auto now = http::event_loop::now();
    const auto staleness = m_relay.node().staleness(now);
    if (staleness && now - *staleness >= m_confirmed_at + min_confirmation_advance) {
        m_confirmed_at = now - *staleness;
        m_hooks.confirmed(m_confirmed_at);
    }
}

void propagation_host::log_confirmation(base::time_point now)
{
    using report = propagation::confirmation_monitor::report;
    const auto& node = m_relay.node();
    const auto staleness = node.staleness(now);
    const auto change = m_confirmations.update(staleness, now);
    if (change == report::none) {
        return;
    }
    const auto upstream = node.upstream();
    const bool confirmed = change == report::confirmed;
    log(confirmed ? log_level::info : log_level::warn,
        confirmed ? "settings_confirmed" : "settings_unconfirmed",
        {{"version", std::to_string(node.version().value())},
         {"age_ms", milliseconds_text(staleness)},
         {"last_answer_ms",
          milliseconds_text(node.last_answer() ? std::optional(now - *node.last_answer())
                                               : std::nullopt)},
         {"upstream", upstream ? upstream->node.value() : ""},
         {"polled", names_of(node.upstreams())}});
}

void propagation_host::log_unanswered_polls(std::size_t count, base::time_point now)
{
    if (m_unanswered_log_limiter.take(now)) {
        log(log_level::warn, "polls_unanswered",
            {{"polls", std::to_string(count)},
             {"suppressed", std::to_string(m_unanswered_log_limiter.take_suppressed())}});
    }
}

void propagation_host::receive(const base::node_id& sender, const propagation::message& body)
{
    const auto now = http::event_loop::now();
    const bool is_answer = std::holds_alternative<propagation::update>(body) ||
                           std::holds_alternative<propagation::copy_chunk>(body) ||
                           std::holds_alternative<propagation::replica_list>(body);
    const bool is_chunk_request = std::holds_alternative<propagation::chunk_request>(body);
    // Polls and reports go to the source if this replica leads; otherwise it serves them as a
    // relay. Chunk requests go to both, since a copy may have been offered in either role.
    if (m_source && !is_answer && (leads() || is_chunk_request)) {
        perform_source(m_source->receive(sender, body, now));
    }
    if (is_answer || is_chunk_request || !leads()) {
        perform_relay(m_relay.receive(sender, body, now));
    }
}

void propagation_host::perform(const propagation::effects& effects, const base::node_id& sender)
{
    for (const auto& send : effects.sends) {
        if (send.to.node == m_own_source) {
            m_loop.post([this, body = send.body] {
                perform_source(m_source->receive(m_settings.name, body, http::event_loop::now()));
            });
        }
        else if (send.to.node == m_settings.name) {
            m_loop.post([this, sender, body = send.body] { receive(sender, body); });
        }
        else {
            m_messages.send(send.to.node, send.to.address.value(), wire::message_kind::propagation,
                            send.body);
        }
    }
    if (effects.confirm) {
        confirm_read(*effects.confirm);
    }
    if (effects.unanswered_polls != 0) {
        log_unanswered_polls(effects.unanswered_polls, http::event_loop::now());
    }
    if (effects.version_changed) {
        confirm();
    }
}

void propagation_host::confirm_read(propagation::read_id id)
{
    m_replica->query([this, id](const control::submission_refused* refused) {
        const auto now = http::event_loop::now();
        perform_source(refused == nullptr ? m_source->read_confirmed(id, now)
                                          : m_source->read_failed(id, now));
    });
}

void propagation_host::replica_changed(base::settings_version version)
{
    if (!m_source) {
        return;
    }
    const auto from = m_replica_version;
    m_replica_version = version;
    std::optional<propagation::settings_difference> difference;
    const auto found =
        m_replica->replica().state().difference(from, version, settings::setting_path());
    if (found.complete && from != base::settings_version()) {
        difference = {from, version,
                      propagation::settings_bytes(wire::compress(wire::encode(found.diff)))};
    }
    perform_source(m_source->version_applied(version, difference, http::event_loop::now()));
}

std::vector<propagation::domain_status> propagation_host::statuses() const
{
    return m_source ? m_source->statuses() : std::vector<propagation::domain_status>();
}

propagation::settings_hooks propagation_host::make_settings_hooks()
{
    return {.apply = [this](const auto& difference) { return apply(difference); },
            .replace = [this](const auto& copy) { return replace(copy); },
            .copy = [this] { return copy_of(m_tree); }};
}

bool propagation_host::apply(const propagation::settings_difference& difference)
{
    const auto started = http::event_loop::now();
    return base::handle_failure(
        [&]() -> base::result<bool> {
            BOOST_LEAF_AUTO(bytes, wire::decompress(difference.bytes.value()));
            BOOST_LEAF_AUTO(diff, wire::decode<settings::setting_diff>(bytes));
            if (!settings::apply(diff, m_tree)) {
                return false;
            }
            m_tree.set_version(difference.to);
            publish_settings();
            log_applied("difference", difference.bytes, started);
            return true;
        },
        [](const base::failure& error) {
            log_failure(log_level::warn, "settings_difference_unreadable", error);
            return false;
        });
}

bool propagation_host::replace(const propagation::settings_copy& copy)
{
    const auto started = http::event_loop::now();
    return base::handle_failure(
        [&]() -> base::result<bool> {
            BOOST_LEAF_AUTO(text, wire::decompress(copy.bytes.value()));
            auto document = settings::read_ini(text, "settings");
            if (!document.problems.empty()) {
                log(log_level::error, "settings_unreadable",
                    {{"problem", to_string(document.problems.front())}});
                return false;
            }
            m_tree = std::move(document.tree);
            m_tree.set_version(copy.version);
            publish_settings();
            log_applied("copy", copy.bytes, started);
            return true;
        },
        [](const base::failure& error) {
            log_failure(log_level::error, "settings_unreadable", error);
            return false;
        });
}

void propagation_host::log_applied(std::string_view form, const propagation::settings_bytes& bytes,
                                   base::time_point started)
{
    const auto spent = http::event_loop::now() - started;
    log(log_level::info, "settings_applied",
        {{"version", std::to_string(m_tree.version().value())},
         {"form", std::string(form)},
         {"bytes", std::to_string(bytes.value().size())},
         {"ms", milliseconds_text(spent)}});
}

void propagation_host::publish_settings()
{
    m_hooks.changed(settings::compiled_settings::compile(m_tree));
}

propagation::settings_copy propagation_host::copy_of_replica() const
{
    return copy_of(m_replica->replica().state().tree());
}

} // namespace damaskladder::daemon
