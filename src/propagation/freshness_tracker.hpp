#pragma once

#include "base/settings_version.hpp"
#include "base/time.hpp"
#include "propagation/freshness_stamp.hpp"

#include <deque>
#include <optional>

namespace damaskladder::propagation {

/// Tracks the stamp that gives the lowest staleness bound for the applied version. A stamp of a
/// later version counts only once that version is applied; the newest of these are kept.
class freshness_tracker {
public:
    void add(const freshness_stamp& stamp, base::settings_version applied_version);
    void version_applied(base::settings_version applied_version);

    /// The stamp with the lowest bound; none before the first answer.
    const std::optional<freshness_stamp>& best() const { return m_best; }

private:
    void update_best(const freshness_stamp& stamp);

    std::optional<freshness_stamp> m_best;
    std::deque<freshness_stamp> m_pending;
};

} // namespace damaskladder::propagation
