#pragma once

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
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
        : m_prefix(std::move(prefix)), m_listening(socket(AF_INET, SOCK_STREAM, 0))
    {
        while (m_pieces.size() < piece_size) {
            m_pieces += piece;
        }
        sockaddr_in bound{};
        bound.sin_family = AF_INET;
        bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (bind(m_listening, reinterpret_cast<sockaddr*>(&bound), sizeof bound) != 0 ||
            listen(m_listening, 1) != 0) {
            throw std::runtime_error("cannot listen on a free port");
        }
        socklen_t size = sizeof bound;
        getsockname(m_listening, reinterpret_cast<sockaddr*>(&bound), &size);
        m_port = ntohs(bound.sin_port);
        m_thread = std::thread([this] { serve(); });
    }
    ~endless_server_fake()
    {
        shutdown(m_listening, SHUT_RDWR);
        m_thread.join();
        close(m_listening);
    }
    endless_server_fake(const endless_server_fake&) = delete;
    endless_server_fake& operator=(const endless_server_fake&) = delete;

    std::uint16_t port() const { return m_port; }
    std::size_t bytes_sent() const { return m_bytes_sent; }
    /// The caller closed the connection, or the limit was reached.
    bool ended() const { return m_ended; }

private:
    static constexpr std::size_t piece_size = 16'384;

    void serve()
    {
        const int connection = accept(m_listening, nullptr, nullptr);
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
    int m_listening;
    std::uint16_t m_port = 0;
    std::atomic<std::size_t> m_bytes_sent = 0;
    std::atomic<bool> m_ended = false;
    std::thread m_thread;
};

} // namespace damaskladder::http
