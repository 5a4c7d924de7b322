#pragma once

#include "base/byte_count.hpp"
#include "consensus/entry.hpp"
#include "consensus/segment_integrity.hpp"
#include "consensus/segment_number.hpp"

#include <string_view>
#include <vector>

namespace damaskladder::consensus {

/// Result of reading a segment file.
struct segment_scan {
    segment_integrity integrity = segment_integrity::intact;
    /// Entries before the first invalid byte, in the order in which they were written.
    std::vector<entry> entries;
    /// Offset of the first invalid byte, or the file size if there is none.
    base::byte_count valid_size;
};

/// Decodes the content of a segment file.
segment_scan scan_segment(segment_number segment, std::string_view content,
                          base::byte_count max_payload);

} // namespace damaskladder::consensus
