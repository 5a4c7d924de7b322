#pragma once

#include "propagation/peer.hpp"

#include <vector>

namespace damaskladder::propagation {

/// Processes that a node polls for the settings.
struct upstream_list {
    /// Polled in turn, each until it fails.
    std::vector<peer> preferred;
    /// Polled while all preferred ones fail, or beside them while the settings are old. They should
    /// not fail together with the preferred ones.
    std::vector<peer> others = {};

    friend bool operator==(const upstream_list&, const upstream_list&) = default;
};

} // namespace damaskladder::propagation
