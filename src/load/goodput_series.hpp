#pragma once

#include "load/goodput_counts.hpp"
#include "load/run_offset.hpp"

#include <vector>

namespace damaskladder::load {

/// Demand and goodput of each second of the run.
///
/// A request is counted in the second in which it was due, regardless of when its response arrived.
/// Goodput therefore never exceeds demand, and responses that arrive in a later second do not skew
/// the comparison.
class goodput_series {
public:
    /// The duration must be a whole number of seconds.
    explicit goodput_series(base::duration duration);

    /// An offset outside the run is clamped to the first or last second.
    void add_demand(run_offset due);
    void add_good(run_offset due);

    const std::vector<goodput_counts>& seconds() const { return m_seconds; }
    goodput_counts total() const;

private:
    goodput_counts& at(run_offset due);

    std::vector<goodput_counts> m_seconds;
};

} // namespace damaskladder::load
