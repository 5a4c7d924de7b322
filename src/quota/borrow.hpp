#pragma once

#include "base/incarnation.hpp"
#include "base/node_id.hpp"
#include "quota/borrow_line.hpp"
#include "quota/holder_id.hpp"

#include <vector>

namespace damaskladder::quota {

/// From a node to the holder of its domain: reports use, returns tokens and requests tokens, for
/// any number of workspaces.
struct borrow {
    base::node_id node;
    base::incarnation incarnation;
    holder_id holder;
    std::vector<borrow_line> lines;

    friend bool operator==(const borrow&, const borrow&) = default;
};

} // namespace damaskladder::quota
