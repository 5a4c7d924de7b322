#pragma once

#include <sys/socket.h>

#include <atomic>
#include <cstddef>
#include <string>

namespace damaskladder::http {

/// Test helper: sends a prefix and then the same piece again and again, as fast as the other side
/// reads, until that side closes. Gives up after `limit` bytes, which only a failing test reaches.
class endless_sender {
public:
    static constexpr std::size_t limit = std::size_t{256} * 1024 * 1024;
    /// Size of one write.
    static constexpr std::size_t piece_size = 16'384;

    void send(int connection, const std::string& prefix, const std::string& piece)
    {
        bool open = send_all(connection, prefix);
        while (open && m_bytes_sent < limit) {
            open = send_all(connection, piece);
        }
    }

    /// May be called by any thread.
    std::size_t bytes_sent() const { return m_bytes_sent; }

private:
    bool send_all(int connection, const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto moved =
                ::send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (moved <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(moved);
            m_bytes_sent += static_cast<std::size_t>(moved);
        }
        return true;
    }

    std::atomic<std::size_t> m_bytes_sent = 0;
};

} // namespace damaskladder::http
