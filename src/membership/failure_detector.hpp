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

/// Judges, at one observer, the nodes that it observes. All times are the observer's awake time.
///
/// A node silent for suspect_after is suspected; it is dead once a majority of its observers
/// suspects it at the same time. Before that the observer asks the node itself. Memory is bounded
/// by the number of observed nodes and their observers.
class failure_detector {
public:
    /// The incarnation under which a member is known.
    using incarnation_lookup = std::function<base::incarnation(const base::node_id&)>;

    failure_detector(base::node_id self, detector_options options);

    /// Takes over new rings. A node that is newly observed starts with a full time-out.
    void observe(const observer_rings& rings, const incarnation_lookup& incarnation_of,
                 base::duration active_time);

    /// A heartbeat arrived. Older or repeated sequence numbers are no sign of life.
    void on_heartbeat(const base::node_id& subject, base::incarnation incarnation,
                      base::sequence_number sequence, base::duration active_time);

    /// The node published a record with a higher incarnation, which proves that it is alive and
    /// voids the votes on the earlier one.
    void on_incarnation(const base::node_id& subject, base::incarnation incarnation,
                        base::duration active_time);

    /// Another observer's vote. Votes of nodes that do not observe the subject are ignored.
    void on_vote(const base::node_id& voter, const base::node_id& subject,
                 base::incarnation incarnation, observer_verdict verdict,
                 base::duration active_time);

    /// True if this observer heard the node lately and can vouch for it.
    bool confirms_alive(const base::node_id& subject, base::duration active_time) const;

    /// What is due now.
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
