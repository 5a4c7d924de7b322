#include "lease/lease_voter.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::lease {

lease_voter::lease_voter(lease_options options, base::node_id self, lease_resource resource,
                         base::time_point start)
    : m_options(options),
      m_self(std::move(self)),
      m_resource(std::move(resource)),
      m_abstain_until(start + options.abstain_time())
{
}

lease_effects lease_voter::on_request(const lease_request& request, base::time_point now)
{
    if (request.resource != m_resource) {
        return {};
    }
    record_candidate(request.candidate, request.incarnation);
    const auto verdict = decide(request, now);
    const auto wait = retry_in(verdict, now);
    if (verdict == lease_verdict::granted) {
        m_grant = grant{request.candidate, request.incarnation, request.epoch,
                        now + m_options.lease_duration};
        m_highest_epoch = std::max(m_highest_epoch, request.epoch);
    }
    return {lease_send{request.candidate,
                       lease_reply{request, m_self, verdict, m_highest_epoch, wait}}};
}

void lease_voter::on_release(const lease_release& message)
{
    if (message.resource != m_resource) {
        return;
    }
    auto& known = record_candidate(message.candidate, message.incarnation);
    if (known.incarnation == message.incarnation) {
        known.released = std::max(known.released, message.epoch);
    }
    if (m_grant && m_grant->candidate == message.candidate &&
        m_grant->incarnation == message.incarnation && m_grant->epoch == message.epoch) {
        m_grant.reset();
    }
}

lease_verdict lease_voter::decide(const lease_request& request, base::time_point now) const
{
    if (now < m_abstain_until) {
        return lease_verdict::abstaining;
    }
    const auto known = m_candidates.find(request.candidate);
    if (known != m_candidates.end() && request.incarnation < known->second.incarnation) {
        return lease_verdict::earlier_incarnation;
    }
    // A request can be delayed beyond the release of its epoch.
    if (known != m_candidates.end() && request.epoch <= known->second.released) {
        return lease_verdict::stale_epoch;
    }
    if (is_holder(request) && request.epoch <= m_grant->epoch) {
        return request.epoch < m_grant->epoch ? lease_verdict::stale_epoch : lease_verdict::granted;
    }
    if (m_grant && !is_holder(request) && now < m_grant->until) {
        return lease_verdict::held;
    }
    // A renewal may have a lower epoch than one that another candidate failed to win.
    const bool stale = !request.renewal && request.epoch <= m_highest_epoch;
    return stale ? lease_verdict::stale_epoch : lease_verdict::granted;
}

bool lease_voter::is_holder(const lease_request& request) const
{
    return m_grant && m_grant->candidate == request.candidate &&
           m_grant->incarnation == request.incarnation;
}

base::duration lease_voter::retry_in(lease_verdict verdict, base::time_point now) const
{
    if (verdict == lease_verdict::abstaining) {
        return m_abstain_until - now;
    }
    if (verdict == lease_verdict::held) {
        return m_grant->until - now;
    }
    return base::duration::zero();
}

lease_voter::known_candidate& lease_voter::record_candidate(const base::node_id& candidate,
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
