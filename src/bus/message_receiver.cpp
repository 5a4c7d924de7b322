#include "bus/message_receiver.hpp"

namespace damaskladder::bus {

bool message_receiver::read(std::vector<char>& buffer, bool leaving,
                            const std::function<void(std::string)>& handler)
{
    using status = http::stream_socket::io_result::status;
    for (;;) {
        const auto got = m_socket.read(buffer.data(), buffer.size());
        if (got.what == status::blocked) {
            return true;
        }
        if (got.what != status::moved || !m_splitter.add({buffer.data(), got.size})) {
            return false;
        }
        while (auto message = m_splitter.next()) {
            handler(std::move(*message));
        }
        // A short read has emptied the socket; more input will be told by another event.
        if (!leaving && got.size < buffer.size()) {
            return true;
        }
    }
}

} // namespace damaskladder::bus
