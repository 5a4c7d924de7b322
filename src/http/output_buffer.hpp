#pragma once

#include "http/stream_socket.hpp"

#include <cstddef>
#include <string>

namespace damaskladder::http {

/// Bytes that wait to be sent on a connection.
class output_buffer {
public:
    /// For appending.
    std::string& bytes() { return m_bytes; }

    std::size_t pending_size() const { return m_bytes.size() - m_sent; }

    /// Sends as much as the socket takes: moved if that is all, else blocked or failed. The size
    /// counts what was sent in any case.
    stream_socket::io_result send(stream_socket& socket);

    void clear();

    /// Frees the memory that an unusually long message took. For connections that become idle.
    void release_memory();

private:
    std::string m_bytes;
    std::size_t m_sent = 0;
};

} // namespace damaskladder::http
