#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace damaskladder::base {

/// Decodes the format of byte_writer. Reading past the end returns zero or an empty string, and
/// ok() returns false from then on.
class byte_reader {
public:
    explicit byte_reader(std::string_view bytes) : m_rest(bytes) {}

    std::uint8_t u8();
    std::uint32_t u32();
    std::uint64_t u64();
    std::string_view raw(std::size_t size);
    std::string_view text();
    std::string_view rest();

    bool ok() const { return m_ok; }
    /// True if the whole input was read without reading past the end.
    bool finished() const { return m_ok && m_rest.empty(); }

private:
    std::string_view m_rest;
    bool m_ok = true;
};

} // namespace damaskladder::base
