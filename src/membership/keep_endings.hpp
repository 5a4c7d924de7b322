#pragma once

#include "base/incarnation.hpp"
#include "base/message_address.hpp"
#include "membership/endings_number.hpp"
#include "membership/run_ending.hpp"

#include <vector>

namespace damaskladder::membership {

/// Sent by a node to its observers until they answer with endings_kept.
struct keep_endings {
    /// Start incarnation of the sending process, returned with the answer.
    base::incarnation process;
    endings_number number;
    std::vector<run_ending> endings;
    base::message_address reply_to;

    friend bool operator==(const keep_endings&, const keep_endings&) = default;
};

} // namespace damaskladder::membership
