#pragma once

#include "base/settings_version.hpp"
#include "base/time.hpp"
#include "propagation/clock_bound.hpp"

namespace damaskladder::propagation {

/// Freshness reported by an answer, with the poll's send time on the poller's clock.
struct freshness_stamp {
    base::settings_version version;
    /// Time at which the poll was sent.
    base::time_point sent;
    /// Age reported by the answer.
    base::duration age{};

    /// Upper bound on the time for which the version may have been outdated.
    base::duration staleness_bound(base::time_point now) const
    {
        return age + max_real_time(now - sent);
    }
};

} // namespace damaskladder::propagation
