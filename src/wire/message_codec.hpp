#pragma once

#include "base/result.hpp"

#include <string>
#include <string_view>

namespace damaskladder::wire {

/// Encodes a message of a decision library as CBOR. Instantiated for the message types that are
/// sent between processes, see message_codec.cpp.
template <class Message>
std::string encode(const Message& message);

/// Fails with corrupt if the bytes are not an encoded message of this type.
template <class Message>
base::result<Message> decode(std::string_view bytes);

} // namespace damaskladder::wire
