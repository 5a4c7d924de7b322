#include "daemon/claims_host.hpp"

#include "daemon/secure_random.hpp"

#include <algorithm>

namespace damaskladder::daemon {

namespace {

constexpr base::duration tick_interval = std::chrono::milliseconds(10);

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

/// Nothing where the log has no answer yet; the client asks again.
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

std::optional<wire::claim_answer> answer_to(const claims::claim& asked,
                                            const control::claim_reply& reply)
{
    const auto status = to_status(reply.verdict);
    if (!status) {
        return std::nullopt;
    }
    return claims::claim_reply{asked.attempt, *status, reply.node};
}

template <class Report>
std::optional<wire::claim_answer> answer_to(const Report& report, const control::claim_reply&)
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
                         const process_settings& settings, replica_host* replica, hooks calls)
    : m_loop(loop),
      m_messages(messages),
      m_settings(settings),
      m_replica(replica),
      m_hooks(std::move(calls)),
      m_client(claims::claim_options{}, secure_random())
{
    m_messages.on_message<wire::claim_command>(
        wire::message_kind::claim_commands,
        [this](const auto& sender, const auto& command) { receive(sender, command); });
    m_messages.on_message<wire::claim_answer>(
        wire::message_kind::claim_answers,
        [this](const auto&, const auto& answer) { receive(answer); });
}

void claims_host::tick()
{
    const auto now = http::event_loop::now();
    if (now >= m_client.next_time()) {
        perform(m_client.on_time(now));
    }
    m_loop.call_at(now + tick_interval, [this] { tick(); });
}

void claims_host::ask(const node::ask_claim& wanted)
{
    const claims::claim claim{wanted.workspace, wanted.request, wanted.attempt, m_settings.name,
                              to_claims(wanted.content)};
    m_abandoned.asked(wanted.attempt);
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
    if (!m_abandoned.settle(outcome)) {
        m_hooks.deliver(to_event(outcome));
    }
    else if (outcome.verdict == claims::claim_verdict::granted) {
        perform(m_client.release(outcome.attempt, http::event_loop::now()));
    }
}

void claims_host::submit(const submission& wanted)
{
    const auto leader = m_hooks.leader();
    if (!leader) {
        return;
    }
    const wire::claim_command command{base::message_address(to_string(m_settings.messages)),
                                      wanted};
    if (*leader == m_settings.name) {
        m_loop.post([this, command] { receive(m_settings.name, command); });
        return;
    }
    m_messages.send(*leader, to_string(m_settings.replicas.at(*leader)),
                    wire::message_kind::claim_commands, command);
}

void claims_host::receive(const wire::claim_answer& answer)
{
    const auto now = http::event_loop::now();
    if (const auto* reply = std::get_if<claims::claim_reply>(&answer)) {
        perform(m_client.on_reply(*reply, now));
    }
    else {
        perform(m_client.on_ack(std::get<claims::claim_ack>(answer), now));
    }
}

void claims_host::receive(const base::node_id& sender, const wire::claim_command& command)
{
    if (m_replica == nullptr || !m_replica->leads()) {
        return;
    }
    std::visit(
        [&](const auto& wanted) {
            m_replica->submit(to_command(wanted), [this, sender, from = command.from,
                                                   wanted](const auto& result) {
                const auto* reply = std::get_if<control::reply>(&result);
                const auto* verdict =
                    reply == nullptr ? nullptr : std::get_if<control::claim_reply>(reply);
                const auto answer = verdict == nullptr ? std::nullopt : answer_to(wanted, *verdict);
                if (!answer) {
                    return;
                }
                if (sender == m_settings.name) {
                    receive(*answer);
                }
                else {
                    m_messages.send(sender, from.value(), wire::message_kind::claim_answers,
                                    *answer);
                }
            });
        },
        command.submission);
}

} // namespace damaskladder::daemon
