#include "membership/failure_detector.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::membership {

failure_detector::failure_detector(base::node_id self, detector_options options)
    : m_self(std::move(self)), m_options(options)
{
}

void failure_detector::observe(const observer_rings& rings,
                               const incarnation_lookup& incarnation_of, base::duration active_time)
{
    std::map<base::node_id, subject_state> next;
    for (const base::node_id& subject : rings.observed_by(m_self)) {
        auto known = m_subjects.find(subject);
        subject_state state;
        state.last_heard = active_time;
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

void failure_detector::on_heartbeat(const base::node_id& subject, base::incarnation incarnation,
                                    base::sequence_number sequence, base::duration active_time)
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
    state.last_heard = active_time;
}

void failure_detector::on_incarnation(const base::node_id& subject, base::incarnation incarnation,
                                      base::duration active_time)
{
    on_heartbeat(subject, incarnation, base::sequence_number(0), active_time);
}

void failure_detector::on_vote(const base::node_id& voter, const base::node_id& subject,
                               base::incarnation incarnation, observer_verdict verdict,
                               base::duration active_time)
{
    auto found = m_subjects.find(subject);
    if (found == m_subjects.end() || incarnation < found->second.incarnation) {
        return;
    }
    subject_state& state = found->second;
    const auto& observers = state.observers;
    if (std::find(observers.begin(), observers.end(), voter) != observers.end()) {
        state.votes[voter] = vote{verdict, active_time};
    }
}

bool failure_detector::confirms_alive(const base::node_id& subject,
                                      base::duration active_time) const
{
    auto found = m_subjects.find(subject);
    return found != m_subjects.end() &&
           active_time - found->second.last_heard < m_options.suspect_after;
}

std::vector<detector_action> failure_detector::due_actions(base::duration active_time)
{
    std::vector<detector_action> actions;
    for (auto& [subject, state] : m_subjects) {
        check_subject(subject, state, active_time, actions);
    }
    return actions;
}

void failure_detector::check_subject(const base::node_id& subject, subject_state& state,
                                     base::duration active_time,
                                     std::vector<detector_action>& actions) const
{
    const base::duration silence = active_time - state.last_heard;
    if (silence < m_options.probe_after) {
        return;
    }
    if (active_time - state.last_probe >= m_options.probe_interval) {
        state.last_probe = active_time;
        actions.push_back({detector_action::kind::probe, subject});
    }
    if (silence < m_options.suspect_after) {
        return;
    }
    if (active_time - state.last_vote >= m_options.vote_interval) {
        state.last_vote = active_time;
        actions.push_back({detector_action::kind::cast_vote, subject});
    }
    const std::size_t suspecting =
        1 + count_valid_votes(state, observer_verdict::suspects, active_time);
    if (2 * suspecting > state.observers.size()) {
        actions.push_back({detector_action::kind::declare_dead, subject});
        return;
    }
    const bool confirmation_overdue =
        silence >= m_options.suspect_after + m_options.unconfirmed_after;
    if (confirmation_overdue &&
        count_valid_votes(state, observer_verdict::confirms, active_time) == 0) {
        actions.push_back({detector_action::kind::declare_unconfirmed, subject});
    }
}

std::size_t failure_detector::count_valid_votes(const subject_state& state,
                                                observer_verdict verdict,
                                                base::duration active_time) const
{
    const auto fresh = std::count_if(state.votes.begin(), state.votes.end(), [&](const auto& item) {
        return item.second.verdict == verdict &&
               active_time - item.second.cast_at <= m_options.vote_validity;
    });
    return static_cast<std::size_t>(fresh);
}

} // namespace damaskladder::membership
