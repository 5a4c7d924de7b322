#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::consensus {

/// Position of an entry in the replicated log; the first entry has index 1, 0 precedes all entries.
using log_index = base::strong_id<struct log_index_tag, std::uint64_t>;

constexpr log_index index_after(log_index index, std::uint64_t count = 1)
{
    return log_index(index.value() + count);
}

/// The index before; index must not be 0.
constexpr log_index index_before(log_index index)
{
    return log_index(index.value() - 1);
}

/// Number of entries after `from` up to and including `to`; 0 if to is not after from.
constexpr std::uint64_t entries_between(log_index from, log_index to)
{
    return to > from ? to.value() - from.value() : 0;
}

} // namespace damaskladder::consensus
