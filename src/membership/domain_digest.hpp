#pragma once

#include "base/failure_domain_id.hpp"
#include "membership/table_digest.hpp"

namespace damaskladder::membership {

/// Digest of the records that a node holds of another failure domain.
struct domain_digest {
    base::failure_domain_id domain;
    table_digest digest;

    friend bool operator==(const domain_digest&, const domain_digest&) = default;
};

} // namespace damaskladder::membership
