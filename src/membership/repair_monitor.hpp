#pragma once

#include "base/node_id.hpp"
#include "base/time.hpp"
#include "membership/table_digest.hpp"

#include <map>

namespace damaskladder::membership {

/// Decides when two tables that should be equal are repaired: when both digests stand still and
/// differ, or when they have differed for long. A difference that is only news under way passes.
class repair_monitor {
public:
    repair_monitor(base::duration min_interval, base::duration max_difference_age);

    /// A neighbour reported its digest. Returns true if its table should be asked for now.
    bool compare(const base::node_id& peer, table_digest theirs, table_digest mine,
                 base::time_point now);

    /// Something from an unknown sender or incarnation. Returns true if a repair is due now.
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
