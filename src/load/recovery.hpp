#pragma once

#include "load/cause_name.hpp"
#include "load/run_offset.hpp"

#include <optional>

namespace damaskladder::load {

/// Recovery after the end of one surge or command.
struct recovery {
    cause_name cause;
    run_offset cause_end{0};
    /// End of the observation period: the start of the next cause, or the end of the run.
    run_offset observed_until{0};
    /// Time from the end of the cause to the start of the first whole second from which goodput
    /// stays at 95% of demand or above; nothing if there is no such second.
    std::optional<base::duration> time;

    friend bool operator==(const recovery&, const recovery&) = default;
};

} // namespace damaskladder::load
