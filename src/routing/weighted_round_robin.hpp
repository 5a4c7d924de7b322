#pragma once

#include "base/service_id.hpp"
#include "settings/split_part.hpp"

#include <cstdint>
#include <vector>

namespace damaskladder::routing {

/// Smooth weighted round-robin over the parts of a traffic split. Each part's share stays within
/// one request of its weight; random selection would deviate by several percent over a few hundred
/// requests.
class weighted_round_robin {
public:
    /// Returns the service for the next request. Resets when the parts have changed. If all weights
    /// are zero, the first part gets every request. `parts` must not be empty.
    base::service_id next(const std::vector<settings::split_part>& parts);

private:
    std::vector<settings::split_part> m_parts;
    /// Number of requests by which each part is behind its share, times the sum of the weights.
    std::vector<std::int64_t> m_credits;
};

} // namespace damaskladder::routing
