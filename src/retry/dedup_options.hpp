#pragma once

#include "base/byte_count.hpp"
#include "base/time.hpp"

#include <chrono>
#include <cstddef>

namespace damaskladder::retry {

/// Options of a repeat table.
struct dedup_options {
    /// Largest answer kept, headers and body together. A larger one is not kept, and repeats that
    /// waited for it are refused.
    base::byte_count max_answer_size{64 * 1024};
    /// How long an answer is kept.
    base::duration answer_lifetime{std::chrono::seconds(30)};
    /// Bound of all kept answers together; the oldest go first.
    base::byte_count max_total_size{8 * 1024 * 1024};
    /// Counted for each kept answer on top of its size.
    base::byte_count entry_overhead{512};
    /// Repeats that can wait for one running request.
    std::size_t max_waiting = 16;
};

} // namespace damaskladder::retry
