#pragma once

#include "base/node_id.hpp"
#include "base/time.hpp"
#include "membership/table_digest.hpp"

#include <map>

namespace damaskladder::membership {

/// Decides when to repair two tables that should be equal: when the digests differ and both are
/// unchanged since the last comparison, or when they have differed for max_difference_age. A
/// difference caused only by updates in transit disappears without a repair.
class repair_monitor {
public:
    repair_monitor(base::duration min_interval, base::duration max_difference_age);

    /// Compares the digest reported by a peer with the local one. Returns true if a repair with the
    /// peer must start now.
    bool compare(const base::node_id& peer, table_digest theirs, table_digest mine,
                 base::time_point now);

    /// For a message from an unknown sender or incarnation. Returns true if a repair may start now,
    /// which is at most once per min_interval.
    bool try_start_repair(base::time_point now);

    void forget(const base::node_id& peer);

private:
    struct difference {
        table_digest theirs;
        table_digest mine;
        base::time_point since;
    };

    base::duration m_min_interval;
    base::duration m_max_difference_age;
    base::time_point m_next{};
    std::map<base::node_id, difference> m_differences;
};

} // namespace damaskladder::membership
