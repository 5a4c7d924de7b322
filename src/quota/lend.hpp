#pragma once

#include "base/incarnation.hpp"
#include "quota/holder_id.hpp"
#include "quota/lend_line.hpp"

#include <vector>

namespace damaskladder::quota {

/// From the holder of a domain to one of its nodes: the answers to the node's borrow lines.
struct lend {
    holder_id holder;
    /// Incarnation of the node that sent the borrow.
    base::incarnation incarnation;
    std::vector<lend_line> lines;

    friend bool operator==(const lend&, const lend&) = default;
};

} // namespace damaskladder::quota
