#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::consensus {

/// Position of an entry in the replicated log. The first entry has index 1; index 0 precedes all
/// entries.
using log_index = base::strong_id<struct log_index_tag, std::uint64_t>;

constexpr log_index index_after(log_index index, std::uint64_t count = 1)
{
    return log_index(index.value() + count);
}

/// Requires that index is not 0.
constexpr log_index index_before(log_index index)
{
    return log_index(index.value() - 1);
}

/// Number of entries in (from, to]; 0 if to does not exceed from.
constexpr std::uint64_t entries_between(log_index from, log_index to)
{
    return to > from ? to.value() - from.value() : 0;
}

} // namespace damaskladder::consensus
