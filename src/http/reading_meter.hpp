#pragma once

#include "http/event_loop.hpp"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace damaskladder::http {

/// Test helper: measures how many bytes are read between two rounds of a loop. Must outlive the
/// last run of the loop.
class reading_meter {
public:
    /// What one connection may read in a round: one turn for an event and one posted by the turn
    /// before; each ends with a whole read.
    static constexpr std::size_t max_in_round = std::size_t{2} * (64 + 16) * 1024;

    explicit reading_meter(event_loop& loop)
    {
        loop.each_round([this](base::time_point) {
            m_in_round = 0;
            return std::nullopt;
        });
    }
    ~reading_meter() = default;
    reading_meter(const reading_meter&) = delete;
    reading_meter& operator=(const reading_meter&) = delete;

    void add(std::size_t bytes)
    {
        m_in_round += bytes;
        m_most_in_round = std::max(m_most_in_round, m_in_round);
    }
    std::size_t most_in_round() const { return m_most_in_round; }

private:
    std::size_t m_in_round = 0;
    std::size_t m_most_in_round = 0;
};

} // namespace damaskladder::http
