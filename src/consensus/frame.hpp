#pragma once

#include "base/byte_count.hpp"
#include "consensus/segment_number.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace damaskladder::consensus {

/// Record of a segment file.
struct frame {
    /// The segment had been synced up to this offset when the frame was written. If an earlier
    /// frame turns out to be damaged, this tells whether it may have been acknowledged.
    base::byte_count synced_through;
    /// An encoded entry; empty if the frame only records the synced offset.
    std::string_view payload;
    /// Size in the file, including the overhead.
    base::byte_count size;
};

/// Size of a frame without its payload: magic, payload size, synced offset, checksum.
inline constexpr base::byte_count frame_overhead{4 + 4 + 8 + 16};

/// Encodes a frame. The checksum also covers the segment number and the offset, so that stale disk
/// blocks are not mistaken for frames.
std::string encode_frame(segment_number segment, base::byte_count offset,
                         base::byte_count synced_through, std::string_view payload);

/// Decodes the frame at this offset of the segment's content. Returns nullopt if there is no valid
/// frame there or its payload is larger than max_payload.
std::optional<frame> decode_frame(segment_number segment, std::string_view content,
                                  base::byte_count offset, base::byte_count max_payload);

} // namespace damaskladder::consensus
