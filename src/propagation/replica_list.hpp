#pragma once

#include "propagation/peer.hpp"
#include "propagation/replica_list_version.hpp"

#include <vector>

namespace damaskladder::propagation {

/// Message to a poller: the present control replicas. The addresses in a poller's settings file are
/// those of its start; each of them may be replaced while it runs.
struct replica_list {
    replica_list_version version;
    std::vector<peer> replicas;

    friend bool operator==(const replica_list&, const replica_list&) = default;
};

} // namespace damaskladder::propagation
