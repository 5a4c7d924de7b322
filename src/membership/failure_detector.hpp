#pragma once

#include "base/incarnation.hpp"
#include "base/node_id.hpp"
#include "base/sequence_number.hpp"
#include "base/time.hpp"
#include "membership/detector_action.hpp"
#include "membership/detector_options.hpp"
#include "membership/observer_rings.hpp"
#include "membership/observer_verdict.hpp"

#include <functional>
#include <map>
#include <vector>

namespace damaskladder::membership {

/// Failure detector of one observer for the nodes that it observes. All times are the observer's
/// active time.
///
/// A node without a heartbeat for suspect_after is suspected. It is declared dead once a majority
/// of its observers suspects it at the same time. Before suspecting a node, the observer probes it.
/// Memory is bounded by the number of observed nodes and their observers.
class failure_detector {
public:
    /// Returns the known incarnation of a member.
    using incarnation_lookup = std::function<base::incarnation(const base::node_id&)>;

    failure_detector(base::node_id self, detector_options options);

    /// Replaces the observer rings. The timeout of a newly observed node starts now.
    void observe(const observer_rings& rings, const incarnation_lookup& incarnation_of,
                 base::duration active_time);

    /// Records a heartbeat. Ignores heartbeats with old or repeated sequence numbers.
    void on_heartbeat(const base::node_id& subject, base::incarnation incarnation,
                      base::sequence_number sequence, base::duration active_time);

    /// Records that the node published a record with a higher incarnation, which proves that it is
    /// alive and invalidates the votes on the previous incarnation.
    void on_incarnation(const base::node_id& subject, base::incarnation incarnation,
                        base::duration active_time);

    /// Records the vote of another observer. Ignores votes of nodes that do not observe the
    /// subject.
    void on_vote(const base::node_id& voter, const base::node_id& subject,
                 base::incarnation incarnation, observer_verdict verdict,
                 base::duration active_time);

    /// True if this observer received a sign of life from the node within suspect_after.
    bool confirms_alive(const base::node_id& subject, base::duration active_time) const;

    /// Checks all observed nodes and returns the actions that are due now.
    std::vector<detector_action> due_actions(base::duration active_time);

private:
    struct vote {
        observer_verdict verdict = observer_verdict::confirms;
        base::duration cast_at{};
    };
    struct subject_state {
        base::incarnation incarnation;
        base::sequence_number sequence;
        base::duration last_heard{};
        base::duration last_probe{};
        base::duration last_vote{};
        std::vector<base::node_id> observers;
        std::map<base::node_id, vote> votes;
    };

    void check_subject(const base::node_id& subject, subject_state& state,
                       base::duration active_time, std::vector<detector_action>& actions) const;
    std::size_t count_valid_votes(const subject_state& state, observer_verdict verdict,
                                  base::duration active_time) const;

    base::node_id m_self;
    detector_options m_options;
    std::map<base::node_id, subject_state> m_subjects;
};

} // namespace damaskladder::membership
