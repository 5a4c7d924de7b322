#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace damaskladder::base {

/// Reads what byte_writer wrote. Reading past the end gives zeros or an empty string and makes
/// ok() false for good.
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
    /// True if everything was read and nothing was missing.
    bool finished() const { return m_ok && m_rest.empty(); }

private:
    std::string_view m_rest;
    bool m_ok = true;
};

} // namespace damaskladder::base
