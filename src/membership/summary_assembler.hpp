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

/// Puts the parts of summaries together. Both relays of a failure domain may send one at the same
/// time, so a few are collected side by side; a further one drops the oldest.
class summary_assembler {
public:
    /// Returns all records once the last missing part of a summary is there.
    std::optional<std::vector<member_record>> add(const domain_summary& part);

private:
    struct partial_summary {
        base::sequence_number summary;
        std::map<std::uint32_t, std::vector<member_record>> parts;
    };

    std::deque<partial_summary> m_partial_summaries;
};

} // namespace damaskladder::membership
