#pragma once

#include "base/settings_version.hpp"
#include "propagation/settings_difference.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace damaskladder::propagation {

/// Recent consecutive differences. Bounded in number and bytes; the oldest are evicted first.
class difference_log {
public:
    difference_log(std::size_t max_entries, std::size_t max_bytes);

    /// Appends a difference. Clears the log first if the difference does not continue it.
    void add(const settings_difference& difference);
    void clear();

    /// Consecutive differences from a version on, as many as fit into the given bytes but at least
    /// one; none if no difference in the log starts at the version.
    std::optional<std::vector<settings_difference>> since(base::settings_version version,
                                                          std::size_t max_bytes) const;

private:
    std::size_t m_max_entries;
    std::size_t m_max_bytes;
    std::size_t m_bytes = 0;
    std::deque<settings_difference> m_entries;
};

} // namespace damaskladder::propagation
