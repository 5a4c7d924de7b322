#pragma once

#include "base/byte_count.hpp"
#include "consensus/entry_payload.hpp"
#include "consensus/log_index.hpp"
#include "consensus/term_number.hpp"

namespace damaskladder::consensus {

/// Entry of the replicated log. Index and term together identify it throughout the cluster.
struct entry {
    log_index index;
    term_number term;
    entry_payload payload;

    friend bool operator==(const entry&, const entry&) = default;
};

/// Approximate encoded size; used to limit the size of messages and of uncommitted entries.
base::byte_count size_of(const entry& entry);

} // namespace damaskladder::consensus
