#pragma once

#include "base/failure_domain_id.hpp"
#include "membership/member_record.hpp"

#include <vector>

namespace damaskladder::membership {

/// Changed records of a failure domain, sent by its relays to the relays of other failure domains
/// and forwarded by those to subscribed nodes.
struct domain_update {
    base::failure_domain_id domain;
    std::vector<member_record> records;

    friend bool operator==(const domain_update&, const domain_update&) = default;
};

} // namespace damaskladder::membership
