#pragma once

#include "admission/ticket.hpp"
#include "base/time.hpp"

namespace damaskladder::admission {

/// A call waiting in a fair_queue.
struct queued_call {
    ticket id;
    base::time_point queued_at;
    base::time_point deadline;
    bool open = false;
};

} // namespace damaskladder::admission
