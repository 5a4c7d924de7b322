#pragma once

#include "base/byte_count.hpp"
#include "consensus/replica_identity.hpp"
#include "consensus/snapshot.hpp"
#include "consensus/snapshot_chunk.hpp"

#include <memory>

namespace damaskladder::consensus {

/// Assembles a snapshot from its chunks.
class snapshot_receiver {
public:
    explicit snapshot_receiver(base::byte_count limit) : m_limit(limit) {}

    /// Appends the chunk if it is the next one; otherwise ignores it. A chunk of another snapshot,
    /// or from another sender, restarts the assembly. Chunks of a snapshot above the limit are
    /// ignored.
    void add(const replica_identity& from, const snapshot_chunk& chunk);
    /// Offset of the next expected chunk.
    base::byte_count next_offset() const;
    bool complete() const { return m_complete; }
    /// Returns the complete snapshot and resets the receiver. Requires complete().
    std::shared_ptr<const snapshot> take();

private:
    bool continues(const replica_identity& from, const snapshot_chunk& chunk) const;

    base::byte_count m_limit;
    replica_identity m_from;
    term_number m_term;
    base::byte_count m_total;
    snapshot m_partial;
    bool m_complete = false;
};

} // namespace damaskladder::consensus
