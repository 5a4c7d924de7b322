#include "membership/summary_assembler.hpp"

#include <algorithm>
#include <cstddef>

namespace damaskladder::membership {

namespace {

constexpr std::size_t max_partial_summaries = 4;

} // namespace

std::optional<std::vector<member_record>> summary_assembler::add(const domain_summary& part)
{
    auto found =
        std::find_if(m_partial_summaries.begin(), m_partial_summaries.end(),
                     [&](const partial_summary& one) { return one.summary == part.summary; });
    if (found == m_partial_summaries.end()) {
        if (m_partial_summaries.size() >= max_partial_summaries) {
            m_partial_summaries.pop_front();
        }
        m_partial_summaries.push_back({part.summary, {}});
        found = std::prev(m_partial_summaries.end());
    }
    found->parts[part.part] = part.records;
    if (found->parts.size() < part.parts) {
        return std::nullopt;
    }
    std::vector<member_record> records;
    for (const auto& [number, part_records] : found->parts) {
        records.insert(records.end(), part_records.begin(), part_records.end());
    }
    m_partial_summaries.erase(found);
    return records;
}

} // namespace damaskladder::membership
