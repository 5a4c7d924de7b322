#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace damaskladder::consensus {

/// Content of a file that is always replaced as a whole: magic of 8 bytes, checksum, payload.
std::string encode_checksummed(std::string_view magic, std::string_view payload);

/// Returns the payload, or nullopt if the magic or the checksum does not match.
std::optional<std::string_view> decode_checksummed(std::string_view magic,
                                                   std::string_view content);

} // namespace damaskladder::consensus
