#pragma once

#include "base/instance_id.hpp"
#include "base/time.hpp"
#include "membership/run_position.hpp"

namespace damaskladder::membership {

/// Run of a backend server that holds no lease any more, kept so that its late messages can be
/// recognized.
struct remembered_run {
    base::instance_id instance = {};
    /// Position of the last message that took effect.
    run_position position = {};
    /// The run said that it ends; otherwise its lease expired and it may renew it.
    bool withdrawn = false;
    bool draining = false;
    base::time_point forget_at = {};
};

} // namespace damaskladder::membership
