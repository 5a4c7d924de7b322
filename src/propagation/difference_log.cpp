#include "propagation/difference_log.hpp"

#include <algorithm>

namespace damaskladder::propagation {

difference_log::difference_log(std::size_t most_entries, std::size_t most_bytes)
    : m_most_entries(most_entries), m_most_bytes(most_bytes)
{
}

void difference_log::add(const settings_difference& difference)
{
    if (!m_entries.empty() && m_entries.back().to != difference.from) {
        clear();
    }
    m_entries.push_back(difference);
    m_bytes += difference.bytes.value().size();
    while (m_entries.size() > m_most_entries || m_bytes > m_most_bytes) {
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
difference_log::since(base::settings_version version, std::size_t most_bytes) const
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
        if (bytes > most_bytes && !found.empty()) {
            break;
        }
        found.push_back(*next);
    }
    return found;
}

} // namespace damaskladder::propagation
