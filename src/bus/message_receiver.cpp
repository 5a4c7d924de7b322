#include "bus/message_receiver.hpp"

#include "http/reading_turn.hpp"

namespace damaskladder::bus {

message_receiver::read_result
message_receiver::read(std::uint32_t events, std::vector<char>& buffer,
                       const std::function<void(std::string)>& handler)
{
    using status = http::stream_socket::io_result::status;
    m_socket.update_readiness(events);
    http::reading_turn turn;
    while (m_socket.readable()) {
        if (turn.ended()) {
            return read_result::more;
        }
        const auto got = m_socket.read(buffer.data(), buffer.size());
        if (got.what == status::blocked) {
            return read_result::waiting;
        }
        if (got.what != status::transferred || !m_decoder.add({buffer.data(), got.size})) {
            return read_result::closed;
        }
        turn.add(got.size);
        while (auto message = m_decoder.next()) {
            handler(std::move(*message));
        }
    }
    return read_result::waiting;
}

} // namespace damaskladder::bus
