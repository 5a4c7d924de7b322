#pragma once

#include "base/failure_domain_id.hpp"
#include "base/sequence_number.hpp"
#include "membership/member_record.hpp"

#include <cstdint>
#include <vector>

namespace damaskladder::membership {

/// One part of a summary: all records of a failure domain that match the receiver's subscription.
/// Once all parts have arrived, they replace the receiver's records; until then, the receiver keeps
/// using its current records.
struct domain_summary {
    base::failure_domain_id domain;
    /// Identifies the summary; equal in all its parts.
    base::sequence_number summary;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::vector<member_record> records;

    friend bool operator==(const domain_summary&, const domain_summary&) = default;
};

} // namespace damaskladder::membership
