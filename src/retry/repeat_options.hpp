#pragma once

#include "base/byte_count.hpp"
#include "base/time.hpp"

#include <chrono>
#include <cstddef>

namespace damaskladder::retry {

/// Options of a repeat table.
struct repeat_options {
    /// Largest answer kept, headers and body together. A larger one is not kept, and repeats that
    /// waited for it are refused.
    base::byte_count largest_answer{64 * 1024};
    /// How long an answer is kept.
    base::duration keep{std::chrono::seconds(30)};
    /// Bound of all kept answers together; the oldest go first.
    base::byte_count most_kept{8 * 1024 * 1024};
    /// Counted for each kept answer on top of its size.
    base::byte_count entry_cost{512};
    /// Repeats that can wait for one running request.
    std::size_t most_waiting = 16;
};

} // namespace damaskladder::retry
