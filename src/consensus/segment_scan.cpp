#include "consensus/segment_scan.hpp"

#include "consensus/file_encoding.hpp"
#include "consensus/frame.hpp"

#include <utility>

namespace damaskladder::consensus {

namespace {

/// Returns true if a later frame shows that the invalid byte had been synced before that frame was
/// written.
bool was_synced(segment_number segment, std::string_view content, base::byte_count invalid,
                base::byte_count max_payload)
{
    const base::byte_count end(static_cast<std::int64_t>(content.size()));
    for (base::byte_count offset = invalid + base::byte_count(1); offset + frame_overhead <= end;
         offset += base::byte_count(1)) {
        const auto found = decode_frame(segment, content, offset, max_payload);
        if (found && found->synced_through > invalid) {
            return true;
        }
    }
    return false;
}

} // namespace

segment_scan scan_segment(segment_number segment, std::string_view content,
                          base::byte_count max_payload)
{
    segment_scan scan;
    const base::byte_count end(static_cast<std::int64_t>(content.size()));
    while (scan.valid_size < end) {
        const auto next = decode_frame(segment, content, scan.valid_size, max_payload);
        if (!next) {
            const bool synced = was_synced(segment, content, scan.valid_size, max_payload);
            scan.integrity = synced ? segment_integrity::corrupted : segment_integrity::torn_tail;
            return scan;
        }
        if (!next->payload.empty()) {
            auto decoded = decode_entry(next->payload);
            if (!decoded) {
                scan.integrity = segment_integrity::corrupted;
                return scan;
            }
            scan.entries.push_back(std::move(*decoded));
        }
        scan.valid_size += next->size;
    }
    return scan;
}

} // namespace damaskladder::consensus
