#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace damaskladder::consensus {

/// Content of a file that is always written whole: kind, checksum, payload. kind has 8 bytes.
std::string encode_checksummed(std::string_view magic, std::string_view payload);

/// The payload, or nothing if the kind or the checksum is wrong.
std::optional<std::string_view> decode_checksummed(std::string_view magic,
                                                   std::string_view content);

} // namespace damaskladder::consensus
