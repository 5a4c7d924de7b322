#pragma once

#include "base/incarnation.hpp"
#include "membership/endings_number.hpp"

namespace damaskladder::membership {

/// Answer to keep_endings: the holder, a process of this incarnation, holds the list with this
/// number. `process` is that of the message that it answers.
struct endings_kept {
    base::incarnation process;
    endings_number number;
    base::incarnation holder;

    friend bool operator==(const endings_kept&, const endings_kept&) = default;
};

} // namespace damaskladder::membership
