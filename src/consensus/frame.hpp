#pragma once

#include "base/byte_count.hpp"
#include "consensus/segment_number.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace damaskladder::consensus {

/// One record of a segment file.
struct frame {
    /// The segment was synced up to this offset when the frame was written. Shows, when an earlier
    /// frame turns out to be damaged, whether it may have been acknowledged.
    base::byte_count synced_through;
    /// An encoded entry; empty if the frame only reports a sync.
    std::string_view payload;
    /// Size of the whole frame in the file.
    base::byte_count size;
};

/// Bytes of a frame around its payload.
inline constexpr base::byte_count frame_overhead{4 + 4 + 8 + 16};

/// The checksum covers segment and offset as well, so that old disk blocks do not pass for frames.
std::string encode_frame(segment_number segment, base::byte_count offset,
                         base::byte_count synced_through, std::string_view payload);

/// The frame at this offset of the segment's content, or nothing if there is no valid one whose
/// payload is within the limit.
std::optional<frame> decode_frame(segment_number segment, std::string_view content,
                                  base::byte_count offset, base::byte_count max_payload);

} // namespace damaskladder::consensus
