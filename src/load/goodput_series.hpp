#pragma once

#include "load/run_offset.hpp"
#include "load/second_count.hpp"

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

    const std::vector<second_count>& seconds() const { return m_seconds; }
    second_count total() const;

private:
    second_count& at(run_offset due);

    std::vector<second_count> m_seconds;
};

} // namespace damaskladder::load
