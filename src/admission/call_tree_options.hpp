#pragma once

#include "base/time.hpp"

#include <chrono>
#include <cstddef>

namespace damaskladder::admission {

struct call_tree_options {
    /// Runs in progress and calls made are compared per window.
    base::duration window{std::chrono::milliseconds(200)};
    /// Weight of old windows falls to 1/e in this time.
    base::duration memory{std::chrono::seconds(60)};
    /// Interval between new estimates; each solves a small system of equations.
    base::duration refit{std::chrono::seconds(1)};
    /// Bounds of memory and work; routes beyond them are not attributed.
    std::size_t max_routes = 16;
    std::size_t max_downstream = 32;
    /// A link begins at this ratio of the estimate to its standard error and ends below the second.
    /// With 4, chance links are rare although all pairs of routes are tested once a second.
    double link_ratio = 4;
    double unlink_ratio = 2;
    /// Fewer calls per run than this do not count as a link: calls that coincide with runs of
    /// another route on the same VM cause estimates of that size.
    double min_calls_per_run = 0.2;
    /// Windows needed before the first link.
    double min_windows = 25;
};

} // namespace damaskladder::admission
