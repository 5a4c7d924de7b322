#include "propagation/difference_log.hpp"

#include <algorithm>

namespace damaskladder::propagation {

difference_log::difference_log(std::size_t max_entries, std::size_t max_bytes)
    : m_max_entries(max_entries), m_max_bytes(max_bytes)
{
}

void difference_log::add(const settings_difference& difference)
{
    if (!m_entries.empty() && m_entries.back().to != difference.from) {
        clear();
    }
    m_entries.push_back(difference);
    m_bytes += difference.bytes.value().size();
    while (m_entries.size() > m_max_entries || m_bytes > m_max_bytes) {
        m_bytes -= m_entries.front().bytes.value().size();
        m_entries.pop_front();
    }
}

void difference_log::clear()
{
    m_entries.clear();
    m_bytes = 0;
}

std::optional<std::vector<settings_difference>>
difference_log::since(base::settings_version version, std::size_t max_bytes) const
{
    auto next = std::find_if(m_entries.begin(), m_entries.end(),
                             [&](const auto& entry) { return entry.from == version; });
    if (next == m_entries.end()) {
        return std::nullopt;
    }
    std::vector<settings_difference> found;
    std::size_t bytes = 0;
    for (; next != m_entries.end(); ++next) {
        bytes += next->bytes.value().size();
        if (bytes > max_bytes && !found.empty()) {
            break;
        }
        found.push_back(*next);
    }
    return found;
}

} // namespace damaskladder::propagation
