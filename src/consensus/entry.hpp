#pragma once

#include "base/byte_count.hpp"
#include "consensus/entry_payload.hpp"
#include "consensus/log_index.hpp"
#include "consensus/term_number.hpp"

namespace damaskladder::consensus {

/// One entry of the replicated log. Index and term together identify it in the whole cluster.
struct entry {
    log_index index;
    term_number term;
    entry_payload payload;

    friend bool operator==(const entry&, const entry&) = default;
};

/// Approximate encoded size, for the bounds on messages and on uncommitted entries.
base::byte_count size_of(const entry& entry);

} // namespace damaskladder::consensus
