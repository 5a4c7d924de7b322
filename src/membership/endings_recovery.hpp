#pragma once

#include "base/node_id.hpp"
#include "base/time.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace damaskladder::membership {

/// Decides whom a node asks after its start for the endings that it confirmed before, and when it
/// knows them. Observers are asked until they answer, also those that become observers later.
class endings_recovery {
public:
    struct options {
        base::duration query_interval;
        /// A node that has met no other member for this time after its start is taken for the only
        /// one of its group.
        base::duration alone_after;
        /// Time after it first met another member in which observers are asked. Longer than the
        /// members of a group take to find each other again when several of them restart together.
        base::duration query_time;
    };

    endings_recovery(options how, base::time_point started) : m_options(how), m_started(started) {}

    /// Observers to ask at this time.
    std::vector<base::node_id> due(const std::vector<base::node_id>& observers,
                                   base::time_point now);
    void on_reply(const base::node_id& from) { m_answered.insert(from); }

    /// Call with the current observers after each event.
    void update(const std::vector<base::node_id>& observers, base::time_point now);
    /// Whether a majority of the observers has answered, or the node was alone. Stays true.
    bool complete() const { return m_complete; }
    /// Whether the node has been without any other member since its start for so long that it is
    /// taken for the only one.
    bool is_alone(base::time_point now) const
    {
        return !m_met_others_at && now - m_started >= m_options.alone_after;
    }

private:
    options m_options;
    base::time_point m_started;
    std::map<base::node_id, base::time_point> m_next_query;
    std::set<base::node_id> m_answered;
    std::optional<base::time_point> m_met_others_at;
    bool m_complete = false;
};

} // namespace damaskladder::membership
