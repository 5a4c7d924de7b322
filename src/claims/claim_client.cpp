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
    auto& known = m_attempts[wanted.attempt];
    known = open_attempt{wanted, state::asking, until, now, m_options.resend, {}};
    submit(known, now, effects);
    return effects;
}

claim_effects claim_client::release(base::attempt_id attempt, base::time_point now)
{
    return report(attempt, state::releasing, now);
}

claim_effects claim_client::complete(base::attempt_id attempt, base::time_point now)
{
    return report(attempt, state::completing, now);
}

void claim_client::leave(base::attempt_id attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found != m_attempts.end() && found->second.now_in == state::granted) {
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
    auto& known = found->second;
    const bool granted = reply.status == claim_status::granted;
    if (known.now_in == state::asking && now >= known.until) {
        give_up(known, now, effects);
    }
    else if (known.now_in == state::asking) {
        effects.emplace_back(claim_outcome{reply.attempt, verdict_of(reply.status), reply.holder});
        // A copy of the claim may be applied when the attempt that has it now has released it, and
        // the answer to that copy may be lost. Only a release that is acknowledged rules that out.
        const bool may_be_granted_later =
            reply.status == claim_status::held_running || reply.status == claim_status::conflict;
        const auto refused = may_be_granted_later ? state::releasing : state::released;
        enter(known, granted ? state::granted : refused, now, effects);
    }
    else if (granted && (known.now_in == state::releasing || known.now_in == state::released)) {
        enter(known, state::releasing, now, effects);
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
    if (found->second.now_in == state::completing) {
        m_attempts.erase(found);
    }
    else if (found->second.now_in == state::releasing) {
        enter(found->second, state::released, now, effects);
    }
    return effects;
}

claim_effects claim_client::on_time(base::time_point now)
{
    claim_effects effects;
    std::erase_if(m_attempts, [&](auto& entry) {
        const auto& known = entry.second;
        return known.now_in != state::asking && known.now_in != state::granted &&
               now >= known.until;
    });
    for (auto& [id, known] : m_attempts) {
        if (known.now_in == state::asking && now >= known.until) {
            give_up(known, now, effects);
        }
        else if (known.now_in != state::granted && known.now_in != state::released &&
                 now >= known.resend_at) {
            submit(known, now, effects);
        }
    }
    return effects;
}

base::time_point claim_client::next_time() const
{
    auto time = base::time_point::max();
    for (const auto& [id, known] : m_attempts) {
        if (known.now_in == state::granted) {
            continue;
        }
        time = std::min(time, known.until);
        if (known.now_in != state::released) {
            time = std::min(time, known.resend_at);
        }
    }
    return time;
}

void claim_client::enter(open_attempt& known, state next, base::time_point now,
                         claim_effects& effects)
{
    known.now_in = next;
    known.resend_after = m_options.resend;
    known.until = now + (next == state::released ? m_options.remember : m_options.keep);
    if (next == state::releasing || next == state::completing) {
        known.sequence = base::sequence_number(known.sequence.value() + 1);
        submit(known, now, effects);
    }
}

void claim_client::submit(open_attempt& known, base::time_point now, claim_effects& effects)
{
    const auto& c = known.wanted;
    if (known.now_in == state::asking) {
        effects.emplace_back(c);
    }
    else if (known.now_in == state::completing) {
        effects.emplace_back(claim_complete{c.workspace, c.request, c.attempt, known.sequence});
    }
    else {
        effects.emplace_back(claim_release{c.workspace, c.request, c.attempt, known.sequence});
    }
    const auto span = static_cast<std::uint64_t>(known.resend_after.count() / 4 + 1);
    const base::duration jitter(static_cast<std::int64_t>(m_random() % span));
    known.resend_at = now + known.resend_after + jitter;
    known.resend_after = std::min(known.resend_after * 2, m_options.longest_resend);
}

/// Whether the claim was applied is not known, so it is released at once and again if a grant
/// comes.
void claim_client::give_up(open_attempt& known, base::time_point now, claim_effects& effects)
{
    effects.emplace_back(claim_outcome{known.wanted.attempt, claim_verdict::not_available, {}});
    enter(known, state::releasing, now, effects);
}

claim_effects claim_client::report(base::attempt_id id, state next, base::time_point now)
{
    claim_effects effects;
    const auto found = m_attempts.find(id);
    if (found != m_attempts.end() && found->second.now_in == state::granted) {
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
