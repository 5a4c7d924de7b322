#pragma once

#include "base/time.hpp"
#include "propagation/copy_chunk.hpp"
#include "propagation/copy_offer.hpp"
#include "propagation/peer.hpp"
#include "propagation/propagation_options.hpp"
#include "propagation/settings_copy.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace damaskladder::propagation {

/// Fetches one full copy, with a bounded number of chunks in flight, and retries lost chunks.
class copy_transfer {
public:
    copy_transfer(peer source, copy_offer offer, const propagation_options& options,
                  base::time_point now);

    const peer& source() const { return m_source; }
    base::settings_version version() const { return m_offer.version; }

    /// Chunks to request now, including those whose request has timed out.
    std::vector<std::uint32_t> chunks_to_request(base::time_point now);
    /// Chunks that are of another version, out of range or too large are ignored.
    void add(const copy_chunk& chunk, base::time_point now);
    bool timed_out(base::time_point now) const;
    /// The copy, once it is complete.
    std::optional<settings_copy> complete() const;

private:
    peer m_source;
    copy_offer m_offer;
    std::size_t m_chunk_bytes;
    std::size_t m_max_in_flight;
    base::duration m_chunk_timeout;
    base::duration m_copy_timeout;
    base::time_point m_last_progress;
    std::map<std::uint32_t, settings_bytes> m_chunks;
    std::map<std::uint32_t, base::time_point> m_requested;
};

} // namespace damaskladder::propagation
