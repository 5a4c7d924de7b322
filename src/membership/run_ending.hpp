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

/// Whether two entries, each with an instance id and a position, belong to one run.
template <class First, class Second>
bool is_same_run(const First& a, const Second& b)
{
    return a.instance == b.instance && a.position.started_ms == b.position.started_ms;
}

} // namespace damaskladder::membership
