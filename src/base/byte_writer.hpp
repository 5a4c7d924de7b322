#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace damaskladder::base {

/// Encodes the content of a file or a message: little-endian integers and length-prefixed strings.
class byte_writer {
public:
    /// Allocates `size` bytes in advance, so that appends up to that size do not reallocate.
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
