#pragma once

#include "base/byte_count.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace damaskladder::bus {

/// Appends a message prefixed with its length.
void append_frame(std::string& out, std::string_view message);

/// Extracts the messages from a stream of length-prefixed frames.
class frame_decoder {
public:
    explicit frame_decoder(base::byte_count max_message) : m_max(max_message) {}

    /// Adds received bytes. Returns false if they announce a message that is too long; the decoder
    /// cannot be used any further then.
    bool add(std::string_view data);

    /// Returns the next complete message, if there is one.
    std::optional<std::string> next();

    /// Memory held for received bytes; none to speak of once next() has returned all messages and
    /// no part of a further one has come.
    std::size_t held_size() const { return m_received.capacity(); }

private:
    base::byte_count m_max;
    std::string m_received;
    std::size_t m_consumed = 0;
};

} // namespace damaskladder::bus
