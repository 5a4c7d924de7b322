#pragma once

#include "base/settings_version.hpp"
#include "propagation/settings_difference.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace damaskladder::propagation {

/// Recent differences, each beginning where the one before ends. Bounded in number and bytes; the
/// oldest go first.
class difference_log {
public:
    difference_log(std::size_t max_entries, std::size_t max_bytes);

    /// A difference that does not continue the log replaces it.
    void add(const settings_difference& difference);
    void clear();

    /// Differences that lead on from a version, as many as fit into the given bytes but at least
    /// one; none if the log does not reach back to the version.
    std::optional<std::vector<settings_difference>> since(base::settings_version version,
                                                          std::size_t max_bytes) const;

private:
    std::size_t m_max_entries;
    std::size_t m_max_bytes;
    std::size_t m_bytes = 0;
    std::deque<settings_difference> m_entries;
};

} // namespace damaskladder::propagation
