#pragma once

#include "load/arrival.hpp"
#include "load/arrival_process.hpp"
#include "load/experiment.hpp"

#include <optional>
#include <vector>

namespace damaskladder::load {

/// Merges the requests of all streams in the order of their intended send times.
///
/// The schedule is a deterministic function of the experiment. Each stream has its own generator,
/// seeded with the experiment's seed and the stream's name, so that changing one stream does not
/// affect the others.
class arrival_schedule {
public:
    explicit arrival_schedule(const experiment& plan);

    /// Returns the next request without removing it; nothing at the end.
    const std::optional<arrival>& peek() const { return m_next; }
    /// Removes and returns the next request; nothing at the end.
    std::optional<arrival> take();

private:
    struct stream_arrivals {
        arrival_process process;
        std::optional<run_offset> next;
    };

    void find_next();

    std::vector<stream_arrivals> m_streams;
    std::optional<arrival> m_next;
};

} // namespace damaskladder::load
