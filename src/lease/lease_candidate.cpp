#include "lease/lease_candidate.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::lease {

namespace {

/// Maximum number of times that the backoff is doubled.
constexpr int max_doublings = 4;

} // namespace

lease_candidate::lease_candidate(lease_options options, base::node_id self,
                                 base::incarnation incarnation, lease_resource resource,
                                 std::vector<base::node_id> voters, base::random_source random)
    : m_options(options),
      m_self(std::move(self)),
      m_incarnation(incarnation),
      m_resource(std::move(resource)),
      m_voters(std::move(voters)),
      m_random(std::move(random))
{
}

lease_effects lease_candidate::acquire(base::time_point now)
{
    lease_effects effects;
    expire(now, effects);
    if (m_state == state::idle) {
        start_requesting(now, effects);
    }
    return effects;
}

lease_effects lease_candidate::release(base::time_point)
{
    lease_effects effects;
    if (m_state == state::requesting || m_state == state::holding) {
        abandon_epoch(effects);
    }
    m_state = state::idle;
    return effects;
}

lease_effects lease_candidate::on_reply(const lease_reply& reply, base::time_point now)
{
    lease_effects effects;
    expire(now, effects);
    m_highest_seen = std::max(m_highest_seen, reply.highest_epoch);
    const auto& request = reply.request;
    const bool current = request.resource == m_resource && request.candidate == m_self &&
                         request.incarnation == m_incarnation && request.epoch == m_epoch &&
                         m_rounds.contains(request.round) && is_voter(reply.voter);
    if (!current) {
        return effects;
    }
    if (reply.verdict == lease_verdict::granted) {
        on_granted(reply, now);
    }
    else {
        on_refused(reply, now, effects);
    }
    return effects;
}

lease_effects lease_candidate::on_timer(base::time_point now)
{
    lease_effects effects;
    expire(now, effects);
    if (now < next_timer()) {
        return effects;
    }
    switch (m_state) {
    case state::idle:
        break;
    case state::backing_off:
        start_requesting(now, effects);
        break;
    case state::requesting:
        abandon_epoch(effects);
        back_off(now);
        break;
    case state::holding:
        send_round(now, effects);
        m_next_timer = now + m_options.renew_interval;
        break;
    }
    return effects;
}

void lease_candidate::on_holder_notice(base::time_point now)
{
    m_quiet_until = now + m_options.quiet_after_notice;
}

bool lease_candidate::holds(base::time_point now) const
{
    return m_state == state::holding && now < m_held_until;
}

base::time_point lease_candidate::next_timer() const
{
    switch (m_state) {
    case state::idle:
        return base::time_point::max();
    case state::backing_off:
        return std::max(m_next_timer, m_quiet_until);
    case state::requesting:
        return m_next_timer;
    case state::holding:
        break;
    }
    return std::min(m_next_timer, m_held_until);
}

/// Ends an expired lease and removes rounds whose grants would already have expired.
void lease_candidate::expire(base::time_point now, lease_effects& effects)
{
    std::erase_if(m_rounds, [&](const auto& entry) {
        return now >= entry.second.sent_at + m_options.hold_time();
    });
    if (m_state == state::holding && now >= m_held_until) {
        abandon_epoch(effects);
        back_off(now);
    }
}

void lease_candidate::start_requesting(base::time_point now, lease_effects& effects)
{
    m_epoch = lease_epoch(std::max(m_epoch, m_highest_seen).value() + 1);
    m_refused.clear();
    m_retry_in = base::duration::zero();
    m_state = state::requesting;
    send_round(now, effects);
    m_next_timer = now + m_options.request_timeout;
}

void lease_candidate::send_round(base::time_point now, lease_effects& effects)
{
    m_last_round = lease_round(m_last_round.value() + 1);
    m_rounds[m_last_round] = round{now, {}};
    const bool renewal = m_state == state::holding;
    for (const auto& voter : m_voters) {
        effects.push_back({voter, lease_request{m_resource, m_self, m_incarnation, m_epoch,
                                                m_last_round, renewal}});
    }
}

void lease_candidate::abandon_epoch(lease_effects& effects)
{
    m_rounds.clear();
    for (const auto& voter : m_voters) {
        effects.push_back({voter, lease_release{m_resource, m_self, m_incarnation, m_epoch}});
    }
}

void lease_candidate::back_off(base::time_point now)
{
    const auto max_delay =
        m_options.initial_backoff * (1 << std::min(m_failed_attempts, max_doublings));
    ++m_failed_attempts;
    m_state = state::backing_off;
    m_next_timer = now + std::min(m_retry_in, m_options.poll_interval) + jitter(max_delay);
}

bool lease_candidate::is_voter(const base::node_id& node) const
{
    return std::find(m_voters.begin(), m_voters.end(), node) != m_voters.end();
}

void lease_candidate::on_granted(const lease_reply& reply, base::time_point now)
{
    auto& round_state = m_rounds[reply.request.round];
    round_state.granted.insert(reply.voter);
    const auto until = round_state.sent_at + m_options.hold_time();
    if (round_state.granted.size() < majority() || now >= until) {
        return;
    }
    if (m_state == state::requesting) {
        m_state = state::holding;
        m_failed_attempts = 0;
        m_held_until = until;
        m_next_timer = round_state.sent_at + m_options.renew_interval;
    }
    m_held_until = std::max(m_held_until, until);
}

void lease_candidate::on_refused(const lease_reply& reply, base::time_point now,
                                 lease_effects& effects)
{
    if (m_state != state::requesting) {
        return;
    }
    m_refused.insert(reply.voter);
    m_retry_in = std::max(m_retry_in, reply.retry_in);
    if (m_voters.size() - m_refused.size() < majority()) {
        abandon_epoch(effects);
        back_off(now);
    }
}

/// Uniform random duration between up_to / 4 and up_to.
base::duration lease_candidate::jitter(base::duration up_to)
{
    const auto min_delay = up_to / 4;
    const auto span = static_cast<std::uint64_t>((up_to - min_delay).count());
    return min_delay + base::duration(static_cast<std::int64_t>(m_random() % (span + 1)));
}

} // namespace damaskladder::lease
