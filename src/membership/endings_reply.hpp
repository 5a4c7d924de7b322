#pragma once

#include "base/incarnation.hpp"
#include "membership/run_ending.hpp"

#include <vector>

namespace damaskladder::membership {

/// Answer to endings_query: the endings that the sender keeps for the receiver, possibly none.
/// `process` is that of the message that it answers.
struct endings_reply {
    base::incarnation process;
    std::vector<run_ending> endings;

    friend bool operator==(const endings_reply&, const endings_reply&) = default;
};

} // namespace damaskladder::membership
