#pragma once

#include "http/stream_socket.hpp"

#include <cstddef>
#include <string>

namespace damaskladder::http {

/// Bytes queued for sending on a connection.
class output_buffer {
public:
    /// The buffer to append to.
    std::string& bytes() { return m_bytes; }

    std::size_t pending_size() const { return m_bytes.size() - m_sent; }

    /// Sends as much as the socket accepts. The status is transferred if everything was sent,
    /// otherwise blocked or failed; the size is the number of bytes sent in either case.
    stream_socket::io_result send(stream_socket& socket);

    void clear();

    /// Frees the capacity left over from a large message. Called when a connection becomes idle.
    void release_memory();

private:
    std::string m_bytes;
    std::size_t m_sent = 0;
};

} // namespace damaskladder::http
