#pragma once

#include "base/file_descriptor.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <thread>

namespace damaskladder::http {

/// Test caller that sends a request body without end as fast as the server reads it, until the
/// server closes the connection. Gives up after `limit` bytes, which only a failing test reaches.
class endless_caller_fake {
public:
    static constexpr std::size_t limit = std::size_t{256} * 1024 * 1024;

    enum class coding { sized, chunked };

    endless_caller_fake(std::uint16_t port, coding body)
        : m_body(body), m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in peer{};
        peer.sin_family = AF_INET;
        peer.sin_port = htons(port);
        peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (connect(m_socket.get(), reinterpret_cast<sockaddr*>(&peer), sizeof peer) != 0) {
            throw std::runtime_error("cannot connect to the server");
        }
        m_thread = std::thread([this] { send_request(); });
    }
    ~endless_caller_fake()
    {
        shutdown(m_socket.get(), SHUT_RDWR);
        m_thread.join();
    }
    endless_caller_fake(const endless_caller_fake&) = delete;
    endless_caller_fake& operator=(const endless_caller_fake&) = delete;

    std::size_t bytes_sent() const { return m_bytes_sent; }

private:
    static constexpr std::size_t piece_size = 16'384;

    void send_request()
    {
        const bool sized = m_body == coding::sized;
        bool open = send_all(
            std::string("POST / HTTP/1.1\r\nHost: a\r\n") +
            (sized ? "Content-Length: 99999999999" : "Transfer-Encoding: chunked") + "\r\n\r\n");
        const std::string data(piece_size, 'a');
        const std::string piece = sized ? data : "4000\r\n" + data + "\r\n";
        while (open && m_bytes_sent < limit) {
            open = send_all(piece);
        }
    }

    bool send_all(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto moved =
                send(m_socket.get(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (moved <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(moved);
            m_bytes_sent += static_cast<std::size_t>(moved);
        }
        return true;
    }

    coding m_body;
    base::file_descriptor m_socket;
    std::atomic<std::size_t> m_bytes_sent = 0;
    std::thread m_thread;
};

} // namespace damaskladder::http
