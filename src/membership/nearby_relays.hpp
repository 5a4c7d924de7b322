#pragma once

#include "base/failure_domain_id.hpp"
#include "membership/endpoint.hpp"
#include "membership/member_table.hpp"

#include <cstddef>
#include <vector>

namespace damaskladder::membership {

/// The first alive nodes by id whose VMs are in the failure domain, at most `count`. In a group of
/// failure domains each of them thereby has relays of its own.
std::vector<endpoint> nearby_relays(const member_table& members,
                                    const base::failure_domain_id& location, std::size_t count);

} // namespace damaskladder::membership
