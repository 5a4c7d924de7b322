#pragma once

#include "base/service_id.hpp"
#include "settings/split_part.hpp"

#include <cstdint>
#include <vector>

namespace damaskladder::routing {

/// Takes turns among the parts of a split route, so that each part's share stays within one request
/// of its weight. Random choice would be off by several percent over a few hundred requests.
class weighted_round_robin {
public:
    /// The service of the next request. Starts anew when the parts have changed. If all weights are
    /// zero, the first part gets every request. `parts` must not be empty.
    base::service_id next(const std::vector<settings::split_part>& parts);

private:
    std::vector<settings::split_part> m_parts;
    /// How far each part is behind its share, in units of the sum of the weights.
    std::vector<std::int64_t> m_credits;
};

} // namespace damaskladder::routing
