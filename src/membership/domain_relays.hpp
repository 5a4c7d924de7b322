#pragma once

#include "base/failure_domain_id.hpp"
#include "membership/endpoint.hpp"

#include <vector>

namespace damaskladder::membership {

/// Relays through which a failure domain can be reached.
struct domain_relays {
    base::failure_domain_id domain;
    std::vector<endpoint> relays;

    friend bool operator==(const domain_relays&, const domain_relays&) = default;
};

} // namespace damaskladder::membership
