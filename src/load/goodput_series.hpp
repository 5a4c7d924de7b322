#pragma once

#include "load/goodput_counts.hpp"
#include "load/run_offset.hpp"

#include <vector>

namespace damaskladder::load {

/// Demand and goodput of each second of the run.
///
/// A request belongs to the second in which it was due, whenever its answer came. So goodput never
/// exceeds demand, and the two are compared without an error from answers that cross a boundary.
class goodput_series {
public:
    /// The duration is a whole number of seconds.
    explicit goodput_series(base::duration duration);

    /// An offset outside the run counts to its last second.
    void add_demand(run_offset due);
    void add_good(run_offset due);

    const std::vector<goodput_counts>& seconds() const { return m_seconds; }
    goodput_counts total() const;

private:
    goodput_counts& at(run_offset due);

    std::vector<goodput_counts> m_seconds;
};

} // namespace damaskladder::load
