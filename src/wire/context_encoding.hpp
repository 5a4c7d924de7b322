#pragma once

#include "base/result.hpp"
#include "wire/sealed_context.hpp"

#include <string>
#include <string_view>

namespace damaskladder::wire {

/// The bytes of a request context. Every request that passes between nodes carries one, so it has
/// an encoding of its own: integers in a fixed order, strings with their length.
std::string encode_context(const sealed_context& context);

/// Fails with corrupt if the bytes are not a context of this program version.
base::result<sealed_context> decode_context(std::string_view bytes);

} // namespace damaskladder::wire
