#pragma once

#include "base/settings_version.hpp"
#include "base/time.hpp"
#include "propagation/clock_bound.hpp"

namespace damaskladder::propagation {

/// An answer about freshness, in the time of the process that polled.
struct freshness_stamp {
    base::settings_version version;
    /// When the poll was sent.
    base::time_point sent;
    /// Age that the answer reported.
    base::duration age{};

    /// Upper bound on how long ago the version may have stopped to be the newest.
    base::duration staleness_bound(base::time_point now) const
    {
        return age + max_real_time(now - sent);
    }
};

} // namespace damaskladder::propagation
