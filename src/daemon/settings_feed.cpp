#include "daemon/settings_feed.hpp"

#include "daemon/log.hpp"
#include "settings/ini_reader.hpp"

namespace damaskladder::daemon {

namespace {

// Short enough that a withdrawn key stops within 2 s.
constexpr base::duration poll_interval = std::chrono::milliseconds(250);
// A replica that has not confirmed anything for so long is not the leader.
constexpr base::duration replica_patience = std::chrono::milliseconds(600);

} // namespace

settings_feed::settings_feed(http::event_loop& loop, messenger& messages,
                             const process_settings& settings, replica_host* replica, hooks calls)
    : m_loop(loop),
      m_messages(messages),
      m_settings(settings),
      m_replica(replica),
      m_hooks(std::move(calls))
{
    for (const auto& [name, address] : settings.replicas) {
        m_replicas.push_back(name);
    }
    m_messages.on_message<wire::settings_poll>(
        wire::message_kind::settings_polls,
        [this](const auto& sender, const auto& poll) { receive(sender, poll); });
    m_messages.on_message<wire::settings_answer>(
        wire::message_kind::settings_answers,
        [this](const auto&, const auto& answer) { receive(answer); });
}

void settings_feed::tick()
{
    const auto now = http::event_loop::now();
    if (now - m_confirmed_at > replica_patience && !m_replicas.empty()) {
        m_polled = (m_polled + 1) % m_replicas.size();
    }
    if (!m_replicas.empty()) {
        const auto& replica = m_replicas[m_polled];
        const wire::settings_poll poll{m_version,
                                       base::message_address(to_string(m_settings.messages)), now};
        if (replica == m_settings.name) {
            receive(m_settings.name, poll);
        }
        else {
            m_messages.send(replica, to_string(m_settings.replicas.at(replica)),
                            wire::message_kind::settings_polls, poll);
        }
    }
    m_loop.call_at(now + poll_interval, [this] { tick(); });
}

std::optional<base::node_id> settings_feed::leader() const
{
    return m_replicas.empty() ? std::nullopt : std::optional(m_replicas[m_polled]);
}

void settings_feed::receive(const base::node_id& sender, const wire::settings_poll& poll)
{
    if (m_replica == nullptr || !m_replica->leads()) {
        return;
    }
    m_replica->query([this, sender, poll](const control::submission_refused* refused) {
        if (refused == nullptr) {
            answer(sender, poll.from, poll);
        }
    });
}

void settings_feed::answer(const base::node_id& to, const base::message_address& address,
                           const wire::settings_poll& poll)
{
    const auto& state = m_replica->replica().state();
    wire::settings_answer reply{poll.sent_at, state.tree().version(), std::nullopt};
    if (reply.version != poll.have) {
        reply.tree = state.export_ini(settings::setting_path());
    }
    if (to == m_settings.name) {
        receive(reply);
    }
    else {
        m_messages.send(to, address.value(), wire::message_kind::settings_answers, reply);
    }
}

void settings_feed::receive(const wire::settings_answer& answer)
{
    if (answer.version < m_version) {
        return;
    }
    if (answer.version > m_version) {
        take_tree(answer);
    }
    // A poll cannot have been sent after now; a later time would be a forged or damaged one.
    if (answer.version == m_version && answer.poll_sent_at <= http::event_loop::now() &&
        answer.poll_sent_at > m_confirmed_at) {
        m_confirmed_at = answer.poll_sent_at;
        m_hooks.confirmed(m_confirmed_at);
    }
}

void settings_feed::take_tree(const wire::settings_answer& answer)
{
    if (!answer.tree) {
        return;
    }
    auto document = settings::read_ini(*answer.tree, "settings");
    if (!document.problems.empty()) {
        log(log_level::error, "settings_unreadable",
            {{"problem", to_string(document.problems.front())}});
        return;
    }
    document.tree.set_version(answer.version);
    m_version = answer.version;
    m_hooks.changed(settings::compiled_settings::compile(document.tree));
}

} // namespace damaskladder::daemon
