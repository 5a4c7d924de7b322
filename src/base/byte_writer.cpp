#include "base/byte_writer.hpp"

#include <array>

namespace damaskladder::base {

namespace {

template <class Integer>
void append_little_endian(std::string& bytes, Integer value)
{
    std::array<char, sizeof(value)> little_endian{};
    for (std::size_t i = 0; i < sizeof(value); ++i) {
        little_endian[i] = static_cast<char>((value >> (8 * i)) & 0xff);
    }
    bytes.append(little_endian.data(), little_endian.size());
}

} // namespace

byte_writer& byte_writer::reserve(std::size_t size)
{
    m_bytes.reserve(size);
    return *this;
}

byte_writer& byte_writer::u8(std::uint8_t value)
{
    m_bytes.push_back(static_cast<char>(value));
    return *this;
}

byte_writer& byte_writer::u32(std::uint32_t value)
{
    append_little_endian(m_bytes, value);
    return *this;
}

byte_writer& byte_writer::u64(std::uint64_t value)
{
    append_little_endian(m_bytes, value);
    return *this;
}

byte_writer& byte_writer::raw(std::string_view bytes)
{
    m_bytes.append(bytes);
    return *this;
}

byte_writer& byte_writer::text(std::string_view bytes)
{
    return u32(static_cast<std::uint32_t>(bytes.size())).raw(bytes);
}

} // namespace damaskladder::base
