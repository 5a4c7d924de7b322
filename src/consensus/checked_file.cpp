#include "consensus/checked_file.hpp"

#include "base/byte_reader.hpp"
#include "base/byte_writer.hpp"
#include "consensus/checksum.hpp"

namespace damaskladder::consensus {

std::string encode_checked(std::string_view kind, std::string_view payload)
{
    const checksum sum = checksum_of({kind, payload});
    base::byte_writer out;
    out.raw(kind).raw({sum.data(), sum.size()}).raw(payload);
    return out.take();
}

std::optional<std::string_view> decode_checked(std::string_view kind, std::string_view content)
{
    base::byte_reader in(content);
    const std::string_view stored_kind = in.raw(kind.size());
    const std::string_view stored_sum = in.raw(checksum{}.size());
    const std::string_view payload = in.rest();
    const checksum sum = checksum_of({kind, payload});
    const bool valid =
        in.ok() && stored_kind == kind && stored_sum == std::string_view(sum.data(), sum.size());
    return valid ? std::optional(payload) : std::nullopt;
}

} // namespace damaskladder::consensus
