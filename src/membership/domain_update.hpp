#pragma once

#include "base/failure_domain_id.hpp"
#include "membership/member_record.hpp"

#include <vector>

namespace damaskladder::membership {

/// Records of another failure domain that changed, from a relay of it to the relays of others and
/// from these to subscribed nodes.
struct domain_update {
    base::failure_domain_id domain;
    std::vector<member_record> records;

    friend bool operator==(const domain_update&, const domain_update&) = default;
};

} // namespace damaskladder::membership
