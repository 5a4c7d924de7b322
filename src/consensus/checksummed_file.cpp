#include "consensus/checksummed_file.hpp"

#include "base/byte_reader.hpp"
#include "base/byte_writer.hpp"
#include "consensus/checksum.hpp"

namespace damaskladder::consensus {

std::string encode_checksummed(std::string_view magic, std::string_view payload)
{
    const checksum sum = checksum_of({magic, payload});
    base::byte_writer out;
    out.raw(magic).raw({sum.data(), sum.size()}).raw(payload);
    return out.take();
}

std::optional<std::string_view> decode_checksummed(std::string_view magic, std::string_view content)
{
    base::byte_reader in(content);
    const std::string_view stored_magic = in.raw(magic.size());
    const std::string_view stored_sum = in.raw(checksum{}.size());
    const std::string_view payload = in.rest();
    const checksum sum = checksum_of({magic, payload});
    const bool valid =
        in.ok() && stored_magic == magic && stored_sum == std::string_view(sum.data(), sum.size());
    return valid ? std::optional(payload) : std::nullopt;
}

} // namespace damaskladder::consensus
