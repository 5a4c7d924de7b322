#include "daemon/claims_host.hpp"

#include "daemon/secure_random.hpp"

#include <algorithm>

namespace damaskladder::daemon {

namespace {

// Minimum time between two rounds that handle due claims.
constexpr base::duration min_timer_interval = std::chrono::milliseconds(10);
// A replica that has not replied within this time is replaced by the next one. Shorter than the
// first resend interval of claim_client, so that the resend goes to another replica.
constexpr base::duration replica_answer_timeout = std::chrono::milliseconds(80);

claims::content_hash to_claims(const base::content_hash& from)
{
    claims::content_hash hash;
    const auto size = std::min(hash.bytes.size(), from.value().size());
    std::copy_n(from.value().begin(), size, hash.bytes.begin());
    return hash;
}

control::command to_command(const claims::claim& from)
{
    return control::claim_request{{from.workspace, from.request},
                                  from.attempt,
                                  from.node,
                                  control::content_hash(control::digest{from.content.bytes})};
}

control::command to_command(const claims::claim_release& from)
{
    return control::release_claim{{from.workspace, from.request}, from.attempt};
}

control::command to_command(const claims::claim_complete& from)
{
    return control::complete_claim{{from.workspace, from.request}, from.attempt};
}

/// Returns nullopt if the log gave no final result; the client then retries.
std::optional<claims::claim_status> to_status(control::claim_verdict verdict)
{
    switch (verdict) {
    case control::claim_verdict::granted:
        return claims::claim_status::granted;
    case control::claim_verdict::held:
        return claims::claim_status::held_running;
    case control::claim_verdict::done:
        return claims::claim_status::held_done;
    case control::claim_verdict::other_content:
        return claims::claim_status::conflict;
    case control::claim_verdict::too_old:
    case control::claim_verdict::too_far_ahead:
    case control::claim_verdict::malformed:
        return claims::claim_status::too_old;
    case control::claim_verdict::released:
    case control::claim_verdict::table_full:
    case control::claim_verdict::not_held:
    case control::claim_verdict::out_of_order:
        break;
    }
    return std::nullopt;
}

std::optional<wire::claim_response> answer_to(const claims::claim& asked,
                                              const control::claim_reply& reply)
{
    const auto status = to_status(reply.verdict);
    if (!status) {
        return std::nullopt;
    }
    return claims::claim_reply{asked.attempt, *status, reply.node};
}

template <class Report>
std::optional<wire::claim_response> answer_to(const Report& report, const control::claim_reply&)
{
    return claims::claim_ack{report.attempt, report.sequence};
}

node::event to_event(const claims::claim_outcome& outcome)
{
    switch (outcome.verdict) {
    case claims::claim_verdict::granted:
        return node::claim_granted{outcome.attempt};
    case claims::claim_verdict::held_running:
        return node::claim_denied{outcome.attempt, node::claim_denial::held};
    case claims::claim_verdict::held_done:
        return node::claim_denied{outcome.attempt, node::claim_denial::already_answered};
    case claims::claim_verdict::too_old:
        return node::claim_denied{outcome.attempt, node::claim_denial::bad_request_id};
    case claims::claim_verdict::conflict:
        return node::claim_denied{outcome.attempt, node::claim_denial::other_content};
    case claims::claim_verdict::not_available:
        break;
    }
    return node::claim_denied{outcome.attempt, node::claim_denial::unavailable};
}

} // namespace

claims_host::claims_host(http::event_loop& loop, messenger& messages,
                         const process_settings& settings, const replica_directory& directory,
                         replica_host* replica, hooks callbacks)
    : m_loop(loop),
      m_messages(messages),
      m_settings(settings),
      m_directory(directory),
      m_replica(replica),
      m_hooks(std::move(callbacks)),
      m_client(claims::claim_options{}, secure_random())
{
    m_messages.on_message<wire::claim_command>(
        wire::message_kind::claim_commands, [this](const auto& sender, const auto& command) {
            // A command is accepted only from its origin or from a control replica that forwards
            // it.
            const bool passed_on = m_directory.contains(sender);
            if (passed_on || command.origin == sender) {
                receive(command, passed_on);
            }
        });
    m_messages.on_message<wire::claim_response>(wire::message_kind::claim_responses,
                                                [this](const auto& sender, const auto& answer) {
                                                    if (m_directory.contains(sender)) {
                                                        receive(answer);
                                                    }
                                                });
}

void claims_host::start()
{
    m_loop.each_round([this](base::time_point now) -> std::optional<base::time_point> {
        if (m_client.size() == 0) {
            return std::nullopt;
        }
        if (now >= m_client.next_time()) {
            perform(m_client.on_time(now));
        }
        return std::max(m_client.next_time(), now + min_timer_interval);
    });
}

void claims_host::acquire(const node::request_claim& wanted)
{
    const claims::claim claim{wanted.workspace, wanted.request, wanted.attempt, m_settings.name,
                              to_claims(wanted.content)};
    m_abandoned.on_begin(wanted.attempt);
    perform(m_client.begin(claim, wanted.deadline, http::event_loop::now()));
}

void claims_host::release(const node::release_claim& wanted)
{
    if (!m_abandoned.abandon(wanted.attempt)) {
        perform(m_client.release(wanted.attempt, http::event_loop::now()));
    }
}

void claims_host::complete(const node::complete_claim& wanted)
{
    perform(m_client.complete(wanted.attempt, http::event_loop::now()));
}

void claims_host::perform(const claims::claim_effects& effects)
{
    for (const auto& next : effects) {
        std::visit(
            [this](const auto& effect) {
                if constexpr (std::is_same_v<std::decay_t<decltype(effect)>,
                                             claims::claim_outcome>) {
                    report(effect);
                }
                else {
                    submit(effect);
                }
            },
            next);
    }
}

void claims_host::report(const claims::claim_outcome& outcome)
{
    if (!m_abandoned.on_outcome(outcome)) {
        m_hooks.deliver(to_event(outcome));
    }
    else if (outcome.verdict == claims::claim_verdict::granted) {
        perform(m_client.release(outcome.attempt, http::event_loop::now()));
    }
}

void claims_host::submit(const submission& wanted)
{
    const auto replicas = replica_names();
    if (replicas.empty()) {
        return;
    }
    choose_replica(http::event_loop::now());
    send(replicas[m_target % replicas.size()],
         {m_settings.name, base::message_address(to_string(m_settings.messages)), wanted});
}

void claims_host::choose_replica(base::time_point now)
{
    if (!m_unanswered_since) {
        m_unanswered_since = now;
    }
    else if (now - *m_unanswered_since > replica_answer_timeout) {
        ++m_target;
        m_unanswered_since = now;
    }
}

std::vector<base::node_id> claims_host::replica_names() const
{
    std::vector<base::node_id> names;
    if (m_replica != nullptr) {
        names.push_back(m_settings.name);
    }
    for (const auto& replica : m_directory.others()) {
        names.push_back(replica.node);
    }
    return names;
}

void claims_host::send(const base::node_id& replica, const wire::claim_command& command)
{
    if (replica == m_settings.name) {
        m_loop.post([this, command] { receive(command, false); });
        return;
    }
    if (const auto address = m_directory.address_of(replica)) {
        m_messages.send(replica, address->value(), wire::message_kind::claim_commands, command);
    }
}

void claims_host::receive(const wire::claim_response& answer)
{
    const auto now = http::event_loop::now();
    m_unanswered_since.reset();
    if (const auto* reply = std::get_if<claims::claim_reply>(&answer)) {
        perform(m_client.on_reply(*reply, now));
    }
    else {
        perform(m_client.on_ack(std::get<claims::claim_ack>(answer), now));
    }
}

void claims_host::receive(const wire::claim_command& command, bool passed_on)
{
    if (m_replica == nullptr) {
        return;
    }
    if (!m_replica->leads()) {
        const auto leader = m_replica->replica().status().known_leader;
        // Forwarded at most once, so that two replicas with outdated knowledge of the leader do not
        // forward a command to each other in a loop.
        if (leader && !passed_on) {
            send(base::node_id(leader->value()), command);
        }
        return;
    }
    std::visit(
        [&](const auto& wanted) {
            m_replica->submit(to_command(wanted), [this, command, wanted](const auto& result) {
                const auto* reply = std::get_if<control::reply>(&result);
                const auto* verdict =
                    reply == nullptr ? nullptr : std::get_if<control::claim_reply>(reply);
                const auto text = verdict == nullptr ? std::nullopt : answer_to(wanted, *verdict);
                if (text) {
                    answer(command, *text);
                }
            });
        },
        command.submission);
}

void claims_host::answer(const wire::claim_command& command, const wire::claim_response& text)
{
    if (command.origin == m_settings.name) {
        receive(text);
        return;
    }
    m_messages.send(command.origin, command.reply_to.value(), wire::message_kind::claim_responses,
                    text);
}

} // namespace damaskladder::daemon
