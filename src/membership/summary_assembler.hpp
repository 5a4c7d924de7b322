#pragma once

#include "base/sequence_number.hpp"
#include "membership/domain_summary.hpp"
#include "membership/member_record.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace damaskladder::membership {

/// Assembles summaries from their parts. Both relays of a failure domain may send a summary at the
/// same time, so up to four are assembled concurrently; a further one replaces the oldest.
class summary_assembler {
public:
    /// Adds a part. Returns all records of the summary if no part is missing any more.
    std::optional<std::vector<member_record>> add(const domain_summary& part);

private:
    struct partial_summary {
        base::sequence_number summary;
        std::map<std::uint32_t, std::vector<member_record>> parts;
    };

    std::deque<partial_summary> m_partial_summaries;
};

} // namespace damaskladder::membership
