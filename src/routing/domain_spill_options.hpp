#pragma once

#include "base/time.hpp"

#include <chrono>

namespace damaskladder::routing {

struct domain_spill_options {
    /// Time that a request has to gain by leaving the own failure domain.
    base::duration crossing_cost{std::chrono::milliseconds(10)};
    base::duration interval{std::chrono::milliseconds(50)};
    /// Run time that is assumed while no server has reported one.
    base::duration default_run_time{std::chrono::milliseconds(100)};
    /// Weight of the newest measurement in the averaged slowdown.
    double smoothing = 0.2;
    /// Change of the leaving part per interval, as a multiple of the gain relative to the run time,
    /// and its bounds. Reports are up to six intervals old, so larger steps overshoot.
    double gain_factor = 0.2;
    double min_step = 0.005;
    double max_step = 0.05;
    /// Part of the others' room that one step may take.
    double room_per_step = 0.25;
    /// The leaving part is reduced when the gain is below this part of the crossing cost.
    double return_below = 0.5;
    /// Time between requests that are sent out only to learn the load of the other domains.
    base::duration min_probe_interval{std::chrono::milliseconds(250)};
    base::duration max_probe_interval{std::chrono::seconds(2)};
};

} // namespace damaskladder::routing
