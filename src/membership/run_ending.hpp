#pragma once

#include "base/instance_id.hpp"
#include "membership/run_position.hpp"

namespace damaskladder::membership {

/// What a node has confirmed about the end of a backend server's run. Other nodes keep it, so that
/// the node knows it again after a restart.
struct run_ending {
    base::instance_id instance;
    /// Position of the run when it ended or began to drain.
    run_position position;
    /// The run is gone; otherwise it drains.
    bool withdrawn = false;

    friend bool operator==(const run_ending&, const run_ending&) = default;
};

} // namespace damaskladder::membership
