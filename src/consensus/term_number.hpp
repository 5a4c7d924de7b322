#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::consensus {

/// Raft term; at most one replica is leader in a term. 0 precedes all terms.
using term_number = base::strong_id<struct term_number_tag, std::uint64_t>;

constexpr term_number next_term(term_number term)
{
    return term_number(term.value() + 1);
}

} // namespace damaskladder::consensus
