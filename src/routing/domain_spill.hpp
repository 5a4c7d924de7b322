#pragma once

#include "routing/domain_load.hpp"
#include "routing/domain_spill_options.hpp"

#include <optional>

namespace damaskladder::routing {

/// Decides which part of the requests for a service leaves the own failure domain.
///
/// Every interval it compares the expected completion in the own domain with that in the others
/// plus the cost of crossing, and moves the part by a small step. Both sides are valued with the
/// same run time, so slower hardware in the own domain is no reason to leave until it is busy.
///
/// Load pattern: about 70 nodes that decide independently on reports that are one answer old. Small
/// steps, smoothing and the distance between the limits for raising and lowering keep them from
/// moving together.
class domain_spill {
public:
    explicit domain_spill(domain_spill_options options) : m_options(options) {}

    bool due(base::time_point now) const
    {
        return !m_updated || now >= *m_updated + m_options.interval;
    }

    /// Adjusts the leaving part. `run_time` is the average over all servers, zero if unknown.
    void update(const domain_load& own, const domain_load& others, base::duration run_time,
                base::time_point now);

    /// Part of the requests that leaves, from 0 to 1.
    double leaving() const { return m_leaving; }

    /// Whether one request should leave because leaving might pay but no load of the other domains
    /// is known. Counts the probe as sent.
    bool take_probe(base::time_point now);

    /// Averaged slowdown in the own domain and in the others, for metrics.
    double own_slowdown() const { return m_own; }
    double others_slowdown() const { return m_others; }

private:
    void raise(double gain, const domain_load& own, const domain_load& others, double intervals);

    domain_spill_options m_options;
    double m_leaving = 0;
    double m_own = 1;
    double m_others = 1;
    bool m_wants_probe = false;
    base::duration m_probe_interval{};
    base::time_point m_next_probe;
    std::optional<base::time_point> m_updated;
};

} // namespace damaskladder::routing
