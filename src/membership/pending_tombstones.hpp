#pragma once

#include "base/node_id.hpp"
#include "base/time.hpp"
#include "membership/member_record.hpp"

#include <map>
#include <vector>

namespace damaskladder::membership {

/// Tombstones received in a repair for nodes that are alive in the local table. When a partition of
/// the failure domain heals, each side has declared the other dead. Giving each node time to refute
/// its tombstone keeps its services in the view. Bounded by the number of alive members.
class pending_tombstones {
public:
    explicit pending_tombstones(base::duration refutation_timeout)
        : m_refutation_timeout(refutation_timeout)
    {
    }

    /// Returns false if a tombstone of the node is already pending.
    bool add(const member_record& tombstone, base::time_point now);

    /// Removes the tombstone of a node, after a newer record of the node arrived.
    void discard(const base::node_id& node);

    /// Removes and returns the tombstones that were not refuted before their deadline.
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
