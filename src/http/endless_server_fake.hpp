#pragma once

#include "http/loopback_listener.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>
#include <utility>

namespace damaskladder::http {

/// Test server that answers one request with bytes without end: a prefix, then the same piece again
/// and again until the caller closes the connection. Gives up after `limit` bytes, which only a
/// failing test reaches.
class endless_server_fake {
public:
    static constexpr std::size_t limit = std::size_t{256} * 1024 * 1024;

    endless_server_fake(std::string prefix, const std::string& piece)
        : m_prefix(std::move(prefix)), m_pieces(repeat(piece)), m_thread([this] { serve(); })
    {
    }
    ~endless_server_fake()
    {
        m_listener.stop();
        m_thread.join();
    }
    endless_server_fake(const endless_server_fake&) = delete;
    endless_server_fake& operator=(const endless_server_fake&) = delete;

    std::uint16_t port() const { return m_listener.port(); }
    std::size_t bytes_sent() const { return m_bytes_sent; }
    /// The caller closed the connection, or the limit was reached.
    bool ended() const { return m_ended; }

private:
    static constexpr std::size_t piece_size = 16'384;

    /// Repeats a piece up to the size of one write.
    static std::string repeat(const std::string& piece)
    {
        std::string pieces;
        while (pieces.size() < piece_size) {
            pieces += piece;
        }
        return pieces;
    }

    void serve()
    {
        const int connection = m_listener.wait_for_connection();
        std::array<char, 4096> request{};
        if (connection >= 0 && read(connection, request.data(), request.size()) > 0) {
            bool open = send_all(connection, m_prefix);
            while (open && m_bytes_sent < limit) {
                open = send_all(connection, m_pieces);
            }
        }
        m_ended = true;
        close(connection);
    }

    bool send_all(int connection, const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto moved =
                send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (moved <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(moved);
            m_bytes_sent += static_cast<std::size_t>(moved);
        }
        return true;
    }

    std::string m_prefix;
    std::string m_pieces;
    loopback_listener m_listener;
    std::atomic<std::size_t> m_bytes_sent = 0;
    std::atomic<bool> m_ended = false;
    std::thread m_thread;
};

} // namespace damaskladder::http
