#pragma once

#include "base/failure_domain_id.hpp"
#include "base/sequence_number.hpp"
#include "membership/member_record.hpp"

#include <cstdint>
#include <vector>

namespace damaskladder::membership {

/// One part of all records of a failure domain that the receiver wants. Once all parts of a summary
/// are there, they replace what the receiver held; until then that stays in use.
struct domain_summary {
    base::failure_domain_id domain;
    /// Same in all parts of one summary.
    base::sequence_number summary;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::vector<member_record> records;

    friend bool operator==(const domain_summary&, const domain_summary&) = default;
};

} // namespace damaskladder::membership
