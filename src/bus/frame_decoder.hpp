#pragma once

#include "base/byte_count.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace damaskladder::bus {

/// Appends a message with its length before it.
void append_frame(std::string& out, std::string_view message);

/// Splits a stream of frames into messages.
class frame_decoder {
public:
    explicit frame_decoder(base::byte_count max_message) : m_max(max_message) {}

    /// Adds received bytes. False if they announce a message that is too long; then nothing more
    /// can be split.
    bool add(std::string_view data);

    /// The next whole message, if there is one.
    std::optional<std::string> next();

private:
    base::byte_count m_max;
    std::string m_received;
    std::size_t m_consumed = 0;
};

} // namespace damaskladder::bus
