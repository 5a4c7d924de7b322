#pragma once

#include "base/node_id.hpp"
#include "base/time.hpp"
#include "membership/run_ending.hpp"

#include <cstddef>
#include <map>
#include <vector>

namespace damaskladder::membership {

/// Endings of backend servers' runs that this node keeps for other nodes, so that they know them
/// again after a restart. An ending is dropped `retention` after it was last kept.
class kept_endings {
public:
    struct limits {
        base::duration retention;
        /// Bound for all nodes together; the ending that was kept longest ago is dropped.
        std::size_t total;
        /// Bound for one node.
        std::size_t per_node;
    };

    explicit kept_endings(limits bounds) : m_limits(bounds) {}

    /// Adds endings to those already kept for the node. Of two endings of one run, a withdrawal
    /// replaces a drain.
    void keep(const base::node_id& node, const std::vector<run_ending>& endings,
              base::time_point now);

    /// What is kept for the node, in the order in which it was kept.
    std::vector<run_ending> of(const base::node_id& node, base::time_point now) const;

private:
    struct entry {
        base::node_id node;
        run_ending ending;
        base::time_point kept_at;
    };

    limits m_limits;
    /// Ordered by the time at which they were kept.
    std::vector<entry> m_entries;
};

} // namespace damaskladder::membership
