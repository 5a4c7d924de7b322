#include "claims/claim_client.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::claims {

claim_client::claim_client(claim_options options, base::random_source random)
    : m_options(options), m_random(std::move(random))
{
}

claim_effects claim_client::begin(const claim& wanted, base::time_point deadline,
                                  base::time_point now)
{
    claim_effects effects;
    const auto until = deadline - m_options.deadline_reserve;
    const bool full = m_attempts.size() >= m_options.max_attempts;
    if (now >= until || full || m_attempts.contains(wanted.attempt)) {
        effects.emplace_back(claim_outcome{wanted.attempt, claim_verdict::not_available, {}});
        return effects;
    }
    auto& tracked = m_attempts[wanted.attempt];
    tracked =
        open_attempt{wanted, state::requesting, until, now, m_options.initial_resend_delay, {}};
    submit(tracked, now, effects);
    return effects;
}

claim_effects claim_client::release(base::attempt_id attempt, base::time_point now)
{
    return finish(attempt, state::releasing, now);
}

claim_effects claim_client::complete(base::attempt_id attempt, base::time_point now)
{
    return finish(attempt, state::completing, now);
}

void claim_client::forget(base::attempt_id attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found != m_attempts.end() && found->second.current_state == state::granted) {
        m_attempts.erase(found);
    }
}

claim_effects claim_client::on_reply(const claim_reply& reply, base::time_point now)
{
    claim_effects effects;
    const auto found = m_attempts.find(reply.attempt);
    if (found == m_attempts.end()) {
        return effects;
    }
    auto& tracked = found->second;
    const bool granted = reply.status == claim_status::granted;
    if (tracked.current_state == state::requesting && now >= tracked.until) {
        give_up(tracked, now, effects);
    }
    else if (tracked.current_state == state::requesting) {
        effects.emplace_back(claim_outcome{reply.attempt, verdict_of(reply.status), reply.holder});
        // A duplicate of the claim may be applied after the current holder releases its claim, and
        // the answer to that duplicate may be lost. Only an acknowledged release rules out that
        // this attempt then holds the claim.
        const bool may_be_granted_later =
            reply.status == claim_status::held_running || reply.status == claim_status::conflict;
        const auto refused = may_be_granted_later ? state::releasing : state::released;
        enter(tracked, granted ? state::granted : refused, now, effects);
    }
    else if (granted && (tracked.current_state == state::releasing ||
                         tracked.current_state == state::released)) {
        enter(tracked, state::releasing, now, effects);
    }
    return effects;
}

claim_effects claim_client::on_ack(const claim_ack& ack, base::time_point now)
{
    claim_effects effects;
    const auto found = m_attempts.find(ack.attempt);
    if (found == m_attempts.end() || found->second.sequence != ack.sequence) {
        return effects;
    }
    if (found->second.current_state == state::completing) {
        m_attempts.erase(found);
    }
    else if (found->second.current_state == state::releasing) {
        enter(found->second, state::released, now, effects);
    }
    return effects;
}

claim_effects claim_client::on_time(base::time_point now)
{
    claim_effects effects;
    std::erase_if(m_attempts, [&](auto& entry) {
        const auto& tracked = entry.second;
        return tracked.current_state != state::requesting &&
               tracked.current_state != state::granted && now >= tracked.until;
    });
    for (auto& [id, tracked] : m_attempts) {
        if (tracked.current_state == state::requesting && now >= tracked.until) {
            give_up(tracked, now, effects);
        }
        else if (tracked.current_state != state::granted &&
                 tracked.current_state != state::released && now >= tracked.resend_at) {
            submit(tracked, now, effects);
        }
    }
    return effects;
}

base::time_point claim_client::next_time() const
{
    auto time = base::time_point::max();
    for (const auto& [id, tracked] : m_attempts) {
        if (tracked.current_state == state::granted) {
            continue;
        }
        time = std::min(time, tracked.until);
        if (tracked.current_state != state::released) {
            time = std::min(time, tracked.resend_at);
        }
    }
    return time;
}

void claim_client::enter(open_attempt& tracked, state next, base::time_point now,
                         claim_effects& effects)
{
    tracked.current_state = next;
    tracked.resend_delay = m_options.initial_resend_delay;
    tracked.until =
        now + (next == state::released ? m_options.released_retention : m_options.report_retention);
    if (next == state::releasing || next == state::completing) {
        tracked.sequence = base::sequence_number(tracked.sequence.value() + 1);
        submit(tracked, now, effects);
    }
}

void claim_client::submit(open_attempt& tracked, base::time_point now, claim_effects& effects)
{
    const auto& c = tracked.wanted;
    if (tracked.current_state == state::requesting) {
        effects.emplace_back(c);
    }
    else if (tracked.current_state == state::completing) {
        effects.emplace_back(claim_complete{c.workspace, c.request, c.attempt, tracked.sequence});
    }
    else {
        effects.emplace_back(claim_release{c.workspace, c.request, c.attempt, tracked.sequence});
    }
    const auto span = static_cast<std::uint64_t>(tracked.resend_delay.count() / 4 + 1);
    const base::duration jitter(static_cast<std::int64_t>(m_random() % span));
    tracked.resend_at = now + tracked.resend_delay + jitter;
    tracked.resend_delay = std::min(tracked.resend_delay * 2, m_options.max_resend_delay);
}

/// The claim may have been applied, so it is released now, and again if a grant arrives.
void claim_client::give_up(open_attempt& tracked, base::time_point now, claim_effects& effects)
{
    effects.emplace_back(claim_outcome{tracked.wanted.attempt, claim_verdict::not_available, {}});
    enter(tracked, state::releasing, now, effects);
}

claim_effects claim_client::finish(base::attempt_id id, state next, base::time_point now)
{
    claim_effects effects;
    const auto found = m_attempts.find(id);
    if (found != m_attempts.end() && found->second.current_state == state::granted) {
        enter(found->second, next, now, effects);
    }
    return effects;
}

claim_verdict claim_client::verdict_of(claim_status status)
{
    switch (status) {
    case claim_status::granted:
        return claim_verdict::granted;
    case claim_status::held_running:
        return claim_verdict::held_running;
    case claim_status::held_done:
        return claim_verdict::held_done;
    case claim_status::too_old:
        return claim_verdict::too_old;
    case claim_status::conflict:
        return claim_verdict::conflict;
    }
    return claim_verdict::not_available;
}

} // namespace damaskladder::claims
