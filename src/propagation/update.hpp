#pragma once

#include "propagation/copy_offer.hpp"
#include "propagation/freshness.hpp"
#include "propagation/poll_id.hpp"
#include "propagation/settings_difference.hpp"

#include <optional>
#include <vector>

namespace damaskladder::propagation {

/// Answer to a poll or, with poll id 0, a change pushed to a recent poller.
struct update {
    poll_id id;
    /// Absent if the sender does not know how fresh it is.
    std::optional<freshness> fresh;
    /// Consecutive differences from the poller's version.
    std::vector<settings_difference> differences;
    /// Present if the differences do not reach back to the poller's version.
    std::optional<copy_offer> copy;

    friend bool operator==(const update&, const update&) = default;
};

} // namespace damaskladder::propagation
