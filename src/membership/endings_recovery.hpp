#pragma once

#include "base/node_id.hpp"
#include "base/time.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace damaskladder::membership {

/// Decides whom a node asks after its start for the endings that it confirmed before, and when it
/// knows them. Observers are asked until they answer, also those that become observers later. Times
/// are active times since the start, so that a node that was not running does not count as cut off.
class endings_recovery {
public:
    struct options {
        base::duration query_interval;
        /// A node that has met no other member for this time after its start is taken for the only
        /// one of its group.
        base::duration alone_after;
        /// Time after it first met another member for which a node waits for a majority of its
        /// observers. Without one it is cut off with a minority of its group, and serves that.
        base::duration majority_wait;
        /// Time after the start for which observers are asked: as long as they keep endings.
        base::duration query_time;
    };

    explicit endings_recovery(options how) : m_options(how) {}

    /// Observers to ask at this time.
    std::vector<base::node_id> due(const std::vector<base::node_id>& observers,
                                   base::time_point now);
    void on_reply(const base::node_id& from) { m_answered.insert(from); }

    /// Call with the current observers after each event.
    void update(const std::vector<base::node_id>& observers, base::time_point now);
    /// Whether a majority of the observers has answered, or the node was alone or cut off from them
    /// for so long that it should go on without. Stays true.
    bool complete() const { return m_complete; }
    /// Whether the node has been without any other member since its start for so long that it is
    /// taken for the only one.
    bool is_alone(base::time_point now) const
    {
        return !m_met_others_at && now.time_since_epoch() >= m_options.alone_after;
    }

private:
    options m_options;
    std::map<base::node_id, base::time_point> m_next_query;
    std::set<base::node_id> m_answered;
    std::optional<base::time_point> m_met_others_at;
    bool m_complete = false;
};

} // namespace damaskladder::membership
