#pragma once

#include "bus/frame_decoder.hpp"
#include "http/stream_socket.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace damaskladder::bus {

/// An incoming connection on which a peer sends messages.
class message_receiver {
public:
    message_receiver(http::stream_socket socket, base::byte_count max_message)
        : m_socket(std::move(socket)), m_decoder(max_message)
    {
    }

    /// Updates the socket's readiness, reads the available bytes and passes complete messages to
    /// the handler. Returns false if the connection has closed or announces a message that is too
    /// long.
    bool read(std::uint32_t events, std::vector<char>& buffer,
              const std::function<void(std::string)>& handler);

    int descriptor() const { return m_socket.descriptor(); }

private:
    http::stream_socket m_socket;
    frame_decoder m_decoder;
};

} // namespace damaskladder::bus
