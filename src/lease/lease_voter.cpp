#include "lease/lease_voter.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::lease {

lease_voter::lease_voter(lease_options options, base::node_id self, lease_resource resource,
                         base::time_point start)
    : m_options(options),
      m_self(std::move(self)),
      m_resource(std::move(resource)),
      m_abstains_until(start + options.abstain_time())
{
}

lease_effects lease_voter::on_ask(const lease_ask& ask, base::time_point now)
{
    if (ask.resource != m_resource) {
        return {};
    }
    know(ask.candidate, ask.incarnation);
    const auto verdict = decide(ask, now);
    const auto wait = retry_in(verdict, now);
    if (verdict == lease_verdict::granted) {
        m_grant = grant{ask.candidate, ask.incarnation, ask.epoch, now + m_options.length};
        m_highest_epoch = std::max(m_highest_epoch, ask.epoch);
    }
    return {lease_send{ask.candidate, lease_reply{ask, m_self, verdict, m_highest_epoch, wait}}};
}

void lease_voter::on_give_up(const lease_give_up& message)
{
    if (message.resource != m_resource) {
        return;
    }
    auto& known = know(message.candidate, message.incarnation);
    if (known.incarnation == message.incarnation) {
        known.given_up = std::max(known.given_up, message.epoch);
    }
    if (m_grant && m_grant->candidate == message.candidate &&
        m_grant->incarnation == message.incarnation && m_grant->epoch == message.epoch) {
        m_grant.reset();
    }
}

lease_verdict lease_voter::decide(const lease_ask& ask, base::time_point now) const
{
    if (now < m_abstains_until) {
        return lease_verdict::abstaining;
    }
    const auto known = m_candidates.find(ask.candidate);
    if (known != m_candidates.end() && ask.incarnation < known->second.incarnation) {
        return lease_verdict::earlier_incarnation;
    }
    // An ask can be delayed past the give-up of its epoch.
    if (known != m_candidates.end() && ask.epoch <= known->second.given_up) {
        return lease_verdict::stale_epoch;
    }
    if (is_holder(ask) && ask.epoch <= m_grant->epoch) {
        return ask.epoch < m_grant->epoch ? lease_verdict::stale_epoch : lease_verdict::granted;
    }
    if (m_grant && !is_holder(ask) && now < m_grant->until) {
        return lease_verdict::held;
    }
    // A renewal may be older than an epoch that another candidate failed to win.
    const bool stale = !ask.renewal && ask.epoch <= m_highest_epoch;
    return stale ? lease_verdict::stale_epoch : lease_verdict::granted;
}

bool lease_voter::is_holder(const lease_ask& ask) const
{
    return m_grant && m_grant->candidate == ask.candidate &&
           m_grant->incarnation == ask.incarnation;
}

base::duration lease_voter::retry_in(lease_verdict verdict, base::time_point now) const
{
    if (verdict == lease_verdict::abstaining) {
        return m_abstains_until - now;
    }
    if (verdict == lease_verdict::held) {
        return m_grant->until - now;
    }
    return base::duration::zero();
}

lease_voter::known_candidate& lease_voter::know(const base::node_id& candidate,
                                                base::incarnation incarnation)
{
    if (m_candidates.size() >= max_known_candidates && !m_candidates.contains(candidate)) {
        m_candidates.erase(m_candidates.begin());
    }
    auto& known = m_candidates[candidate];
    if (known.incarnation < incarnation) {
        known = known_candidate{incarnation, {}};
    }
    return known;
}

} // namespace damaskladder::lease
