#include "membership/failure_detector.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::membership {

failure_detector::failure_detector(base::node_id self, detector_options options)
    : m_self(std::move(self)), m_options(options)
{
}

void failure_detector::observe(const observer_rings& rings,
                               const incarnation_lookup& incarnation_of, base::duration awake)
{
    std::map<base::node_id, subject_state> next;
    for (const base::node_id& subject : rings.observed_by(m_self)) {
        auto known = m_subjects.find(subject);
        subject_state state;
        state.heard = awake;
        state.incarnation = incarnation_of(subject);
        if (known != m_subjects.end()) {
            state = std::move(known->second);
        }
        state.observers = rings.observers_of(subject);
        std::erase_if(state.votes, [&](const auto& item) {
            return std::find(state.observers.begin(), state.observers.end(), item.first) ==
                   state.observers.end();
        });
        next.emplace(subject, std::move(state));
    }
    m_subjects = std::move(next);
}

void failure_detector::heard_heartbeat(const base::node_id& subject, base::incarnation incarnation,
                                       base::sequence_number sequence, base::duration awake)
{
    auto found = m_subjects.find(subject);
    if (found == m_subjects.end()) {
        return;
    }
    subject_state& state = found->second;
    const bool newer =
        std::pair(incarnation, sequence) > std::pair(state.incarnation, state.sequence);
    if (!newer) {
        return;
    }
    if (incarnation > state.incarnation) {
        state.votes.clear();
    }
    state.incarnation = incarnation;
    state.sequence = sequence;
    state.heard = awake;
}

void failure_detector::heard_incarnation(const base::node_id& subject,
                                         base::incarnation incarnation, base::duration awake)
{
    heard_heartbeat(subject, incarnation, base::sequence_number(0), awake);
}

void failure_detector::heard_vote(const base::node_id& voter, const base::node_id& subject,
                                  base::incarnation incarnation, observer_verdict verdict,
                                  base::duration awake)
{
    auto found = m_subjects.find(subject);
    if (found == m_subjects.end() || incarnation < found->second.incarnation) {
        return;
    }
    subject_state& state = found->second;
    const auto& observers = state.observers;
    if (std::find(observers.begin(), observers.end(), voter) != observers.end()) {
        state.votes[voter] = vote{verdict, awake};
    }
}

bool failure_detector::vouches_for(const base::node_id& subject, base::duration awake) const
{
    auto found = m_subjects.find(subject);
    return found != m_subjects.end() && awake - found->second.heard < m_options.suspect_after;
}

std::vector<detector_action> failure_detector::step(base::duration awake)
{
    std::vector<detector_action> actions;
    for (auto& [subject, state] : m_subjects) {
        step_subject(subject, state, awake, actions);
    }
    return actions;
}

void failure_detector::step_subject(const base::node_id& subject, subject_state& state,
                                    base::duration awake,
                                    std::vector<detector_action>& actions) const
{
    const base::duration silence = awake - state.heard;
    if (silence < m_options.probe_after) {
        return;
    }
    if (awake - state.probed >= m_options.probe_interval) {
        state.probed = awake;
        actions.push_back({detector_action::kind::probe, subject});
    }
    if (silence < m_options.suspect_after) {
        return;
    }
    if (awake - state.voted >= m_options.vote_interval) {
        state.voted = awake;
        actions.push_back({detector_action::kind::cast_vote, subject});
    }
    const std::size_t suspecting = 1 + fresh_votes(state, observer_verdict::suspects, awake);
    if (2 * suspecting > state.observers.size()) {
        actions.push_back({detector_action::kind::declare_dead, subject});
        return;
    }
    const bool long_silent = silence >= m_options.suspect_after + m_options.unvouched_after;
    if (long_silent && fresh_votes(state, observer_verdict::hears, awake) == 0) {
        actions.push_back({detector_action::kind::declare_unvouched, subject});
    }
}

std::size_t failure_detector::fresh_votes(const subject_state& state, observer_verdict verdict,
                                          base::duration awake) const
{
    const auto fresh = std::count_if(state.votes.begin(), state.votes.end(), [&](const auto& item) {
        return item.second.verdict == verdict &&
               awake - item.second.cast <= m_options.vote_validity;
    });
    return static_cast<std::size_t>(fresh);
}

} // namespace damaskladder::membership
