#pragma once

#include "base/node_id.hpp"
#include "base/time.hpp"
#include "membership/member_record.hpp"

#include <map>
#include <vector>

namespace damaskladder::membership {

/// Nodes that another table holds as dead and the own one as alive. When the halves of a divided
/// failure domain meet, each believes the other to be dead; asking the node before believing it
/// keeps its services in the view. Bounded by the number of alive members.
class pending_tombstones {
public:
    explicit pending_tombstones(base::duration refutation_timeout)
        : m_refutation_timeout(refutation_timeout)
    {
    }

    /// Returns false if the death is already contested.
    bool add(const member_record& tombstone, base::time_point now);

    /// A newer record of the node arrived.
    void discard(const base::node_id& node);

    /// Tombstones that nobody refuted in time.
    std::vector<member_record> take_unrefuted(base::time_point now);

private:
    struct pending_tombstone {
        member_record tombstone;
        base::time_point deadline;
    };

    base::duration m_refutation_timeout;
    std::map<base::node_id, pending_tombstone> m_pending;
};

} // namespace damaskladder::membership
