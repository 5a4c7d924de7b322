#pragma once

#include "http/endless_sender.hpp"
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
/// and again until the caller closes the connection.
class endless_server_fake {
public:
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
    std::size_t bytes_sent() const { return m_sender.bytes_sent(); }
    /// The caller closed the connection, or the limit was reached.
    bool ended() const { return m_ended; }

private:
    /// Repeats a piece up to the size of one write.
    static std::string repeat(const std::string& piece)
    {
        std::string pieces;
        while (pieces.size() < endless_sender::piece_size) {
            pieces += piece;
        }
        return pieces;
    }

    void serve()
    {
        const int connection = m_listener.wait_for_connection();
        std::array<char, 4096> request{};
        if (connection >= 0 && read(connection, request.data(), request.size()) > 0) {
            m_sender.send(connection, m_prefix, m_pieces);
        }
        m_ended = true;
        close(connection);
    }

    std::string m_prefix;
    std::string m_pieces;
    loopback_listener m_listener;
    endless_sender m_sender;
    std::atomic<bool> m_ended = false;
    std::thread m_thread;
};

} // namespace damaskladder::http
