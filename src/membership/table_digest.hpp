#pragma once

#include "base/strong_id.hpp"

#include <cstdint>

namespace damaskladder::membership {

/// Order-independent hash of a set of alive member records. Equal sets have equal digests.
using table_digest = base::strong_id<struct table_digest_tag, std::uint64_t>;

/// Digest after adding a record to the set or, if the set contains it, removing it.
inline table_digest toggled(table_digest digest, table_digest record)
{
    return table_digest(digest.value() ^ record.value());
}

} // namespace damaskladder::membership
