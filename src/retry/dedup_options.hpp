#pragma once

#include "base/byte_count.hpp"
#include "base/time.hpp"

#include <chrono>
#include <cstddef>

namespace damaskladder::retry {

struct dedup_options {
    /// Maximum size of a cached answer, headers and body together. A larger one is not cached, and
    /// repeats that wait for it are refused.
    base::byte_count max_answer_size{64 * 1024};
    /// Time for which an answer is cached.
    base::duration answer_lifetime{std::chrono::seconds(30)};
    /// Maximum total size of the cached answers; the oldest are evicted first.
    base::byte_count max_total_size{8 * 1024 * 1024};
    /// Bytes counted for each cached answer in addition to its size.
    base::byte_count entry_overhead{512};
    /// Maximum number of repeats that wait for one running request.
    std::size_t max_waiting = 16;
};

} // namespace damaskladder::retry
