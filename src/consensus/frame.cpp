#include "consensus/frame.hpp"

#include "base/byte_reader.hpp"
#include "base/byte_writer.hpp"
#include "consensus/checksum.hpp"

namespace damaskladder::consensus {

namespace {

constexpr std::uint32_t frame_magic = 0x314d4644; // "DFM1"

checksum frame_checksum(segment_number segment, base::byte_count offset,
                        base::byte_count synced_through, std::string_view payload)
{
    base::byte_writer header;
    header.u64(segment.value()).u64(static_cast<std::uint64_t>(offset.value()));
    header.u64(static_cast<std::uint64_t>(synced_through.value()));
    return checksum_of({header.bytes(), payload});
}

} // namespace

std::string encode_frame(segment_number segment, base::byte_count offset,
                         base::byte_count synced_through, std::string_view payload)
{
    const checksum sum = frame_checksum(segment, offset, synced_through, payload);
    base::byte_writer out;
    out.reserve(payload.size() + static_cast<std::size_t>(frame_overhead.value()));
    out.u32(frame_magic).u32(static_cast<std::uint32_t>(payload.size()));
    out.u64(static_cast<std::uint64_t>(synced_through.value()));
    out.raw({sum.data(), sum.size()}).raw(payload);
    return out.take();
}

std::optional<frame> decode_frame(segment_number segment, std::string_view content,
                                  base::byte_count offset, base::byte_count max_payload)
{
    base::byte_reader in(content.substr(static_cast<std::size_t>(offset.value())));
    if (in.u32() != frame_magic) {
        return std::nullopt;
    }
    const std::uint32_t size = in.u32();
    const base::byte_count synced_through(static_cast<std::int64_t>(in.u64()));
    const std::string_view stored_sum = in.raw(checksum{}.size());
    if (size > max_payload.value()) {
        return std::nullopt;
    }
    const std::string_view payload = in.raw(size);
    if (!in.ok()) {
        return std::nullopt;
    }
    const checksum sum = frame_checksum(segment, offset, synced_through, payload);
    if (stored_sum != std::string_view(sum.data(), sum.size())) {
        return std::nullopt;
    }
    return frame{synced_through, payload, frame_overhead + base::byte_count(size)};
}

} // namespace damaskladder::consensus
