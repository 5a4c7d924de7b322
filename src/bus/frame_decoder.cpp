#include "bus/frame_decoder.hpp"

#include "base/byte_reader.hpp"
#include "base/byte_writer.hpp"

namespace damaskladder::bus {

namespace {

constexpr std::size_t length_size = 4;

std::size_t length_at(std::string_view data)
{
    return base::byte_reader(data.substr(0, length_size)).u32();
}

} // namespace

void append_frame(std::string& out, std::string_view message)
{
    base::byte_writer length;
    length.u32(static_cast<std::uint32_t>(message.size()));
    out += length.bytes();
    out += message;
}

bool frame_decoder::add(std::string_view data)
{
    m_received.erase(0, m_consumed);
    m_consumed = 0;
    m_received += data;
    const auto max = static_cast<std::size_t>(m_max.value());
    std::size_t at = 0;
    while (m_received.size() >= at + length_size) {
        const auto length = length_at(std::string_view(m_received).substr(at));
        if (length > max) {
            return false;
        }
        at += length_size + length;
    }
    return true;
}

std::optional<std::string> frame_decoder::next()
{
    const auto rest = std::string_view(m_received).substr(m_consumed);
    if (rest.empty()) {
        // Releases the memory of a large message, which an assignment keeps.
        std::string().swap(m_received);
        m_consumed = 0;
        return std::nullopt;
    }
    if (rest.size() < length_size) {
        return std::nullopt;
    }
    const auto length = length_at(rest);
    if (rest.size() < length_size + length) {
        return std::nullopt;
    }
    m_consumed += length_size + length;
    return std::string(rest.substr(length_size, length));
}

} // namespace damaskladder::bus
