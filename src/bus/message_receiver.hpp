#pragma once

#include "bus/frame_decoder.hpp"
#include "http/stream_socket.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace damaskladder::bus {

/// An incoming connection on which a peer sends messages.
class message_receiver {
public:
    message_receiver(http::stream_socket socket, base::byte_count max_message)
        : m_socket(std::move(socket)), m_decoder(max_message)
    {
    }

    enum class read_result {
        /// No bytes are available.
        waiting,
        /// The turn has ended; call read() again in a later round of the loop.
        more,
        /// The connection has closed or announces a message that is too long.
        closed,
    };

    /// Updates the socket's readiness, reads available bytes for one turn and passes complete
    /// messages to the handler.
    read_result read(std::uint32_t events, std::vector<char>& buffer,
                     const std::function<void(std::string)>& handler);

    /// Notes whether a further turn is scheduled; returns whether one was before.
    bool set_scheduled(bool scheduled) { return std::exchange(m_scheduled, scheduled); }

    /// Memory held for incomplete messages.
    std::size_t held_size() const { return m_decoder.held_size(); }

    int descriptor() const { return m_socket.descriptor(); }

private:
    http::stream_socket m_socket;
    frame_decoder m_decoder;
    bool m_scheduled = false;
};

} // namespace damaskladder::bus
