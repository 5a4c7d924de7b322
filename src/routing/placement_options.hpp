#pragma once

#include "routing/domain_spill_options.hpp"

namespace damaskladder::routing {

/// Placement of requests on the backend servers of a service.
struct placement_options {
    /// Chooses by expected completion and lets domain_spill decide what leaves the own failure
    /// domain, instead of router_options::max_local_load and the load relative to the slots.
    bool by_completion = false;
    domain_spill_options spill;
};

} // namespace damaskladder::routing
