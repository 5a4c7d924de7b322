#include "membership/summary_assembly.hpp"

#include <algorithm>
#include <cstddef>

namespace damaskladder::membership {

namespace {

constexpr std::size_t collections_at_once = 4;

} // namespace

std::optional<std::vector<member_record>> summary_assembly::add(const domain_summary& part)
{
    auto found = std::find_if(m_collections.begin(), m_collections.end(),
                              [&](const collection& one) { return one.summary == part.summary; });
    if (found == m_collections.end()) {
        if (m_collections.size() >= collections_at_once) {
            m_collections.pop_front();
        }
        m_collections.push_back({part.summary, {}});
        found = std::prev(m_collections.end());
    }
    found->parts[part.part] = part.records;
    if (found->parts.size() < part.parts) {
        return std::nullopt;
    }
    std::vector<member_record> records;
    for (const auto& [number, some] : found->parts) {
        records.insert(records.end(), some.begin(), some.end());
    }
    m_collections.erase(found);
    return records;
}

} // namespace damaskladder::membership
