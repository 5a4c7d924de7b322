#include "base/byte_reader.hpp"

#include <utility>

namespace damaskladder::base {

namespace {

template <class Integer>
Integer decode_little_endian(std::string_view bytes)
{
    Integer value = 0;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        value |= static_cast<Integer>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    }
    return value;
}

} // namespace

std::uint8_t byte_reader::u8()
{
    const std::string_view bytes = raw(1);
    return bytes.empty() ? std::uint8_t{0} : static_cast<std::uint8_t>(bytes[0]);
}

std::uint32_t byte_reader::u32()
{
    return decode_little_endian<std::uint32_t>(raw(sizeof(std::uint32_t)));
}

std::uint64_t byte_reader::u64()
{
    return decode_little_endian<std::uint64_t>(raw(sizeof(std::uint64_t)));
}

std::string_view byte_reader::raw(std::size_t size)
{
    if (size > m_rest.size()) {
        m_ok = false;
        m_rest = {};
        return {};
    }
    const std::string_view taken = m_rest.substr(0, size);
    m_rest.remove_prefix(size);
    return taken;
}

std::string_view byte_reader::text()
{
    const std::size_t size = u32();
    return raw(size);
}

std::string_view byte_reader::rest()
{
    return std::exchange(m_rest, {});
}

} // namespace damaskladder::base
