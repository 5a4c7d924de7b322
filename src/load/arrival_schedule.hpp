#pragma once

#include "load/arrival.hpp"
#include "load/arrival_process.hpp"
#include "load/experiment.hpp"

#include <optional>
#include <vector>

namespace damaskladder::load {

/// Requests of all streams in the order of their intended send times.
///
/// The same experiment gives the same schedule. Each stream has a generator of its own, seeded
/// with the seed and its name, so that a change of one stream leaves the others as they were.
class arrival_schedule {
public:
    explicit arrival_schedule(const experiment& plan);

    /// The next request, without taking it; nothing at the end.
    const std::optional<arrival>& peek() const { return m_next; }
    /// Takes the next request; nothing at the end.
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
