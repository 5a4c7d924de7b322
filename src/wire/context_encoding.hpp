#pragma once

#include "base/result.hpp"
#include "wire/sealed_context.hpp"

#include <string>
#include <string_view>

namespace damaskladder::wire {

/// Encodes a request context. Every request between nodes carries one, so it has a compact encoding
/// of its own instead of CBOR: integers in a fixed order and length-prefixed strings.
std::string encode_context(const sealed_context& context);

/// Fails with corrupt if the bytes are not a context encoded by this program version.
base::result<sealed_context> decode_context(std::string_view bytes);

} // namespace damaskladder::wire
