#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace damaskladder::base {

/// Builds the content of a file or a message: integers in little-endian order, strings with their
/// length first.
class byte_writer {
public:
    /// Avoids copying while growing to this size.
    byte_writer& reserve(std::size_t size);
    byte_writer& u8(std::uint8_t value);
    byte_writer& u32(std::uint32_t value);
    byte_writer& u64(std::uint64_t value);
    byte_writer& raw(std::string_view bytes);
    byte_writer& text(std::string_view bytes);
    const std::string& bytes() const { return m_bytes; }
    std::string take() { return std::move(m_bytes); }

private:
    std::string m_bytes;
};

} // namespace damaskladder::base
