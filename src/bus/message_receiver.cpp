#include "bus/message_receiver.hpp"

namespace damaskladder::bus {

bool message_receiver::read(std::uint32_t events, std::vector<char>& buffer,
                            const std::function<void(std::string)>& handler)
{
    using status = http::stream_socket::io_result::status;
    m_socket.update_readiness(events);
    while (m_socket.readable()) {
        const auto got = m_socket.read(buffer.data(), buffer.size());
        if (got.what == status::blocked) {
            return true;
        }
        if (got.what != status::transferred || !m_decoder.add({buffer.data(), got.size})) {
            return false;
        }
        while (auto message = m_decoder.next()) {
            handler(std::move(*message));
        }
    }
    return true;
}

} // namespace damaskladder::bus
