#pragma once

#include "base/file_descriptor.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <cstdint>
#include <stdexcept>

namespace damaskladder::http {

/// Test helper: a listening socket on a free port of 127.0.0.1.
class loopback_listener {
public:
    loopback_listener() : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        constexpr int backlog = 8;
        sockaddr_in bound{};
        bound.sin_family = AF_INET;
        bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (bind(m_socket.get(), reinterpret_cast<sockaddr*>(&bound), sizeof bound) != 0 ||
            listen(m_socket.get(), backlog) != 0) {
            throw std::runtime_error("cannot listen on a free port");
        }
        socklen_t size = sizeof bound;
        getsockname(m_socket.get(), reinterpret_cast<sockaddr*>(&bound), &size);
        m_port = ntohs(bound.sin_port);
    }

    std::uint16_t port() const { return m_port; }

    /// Blocks until a caller connects. Returns the connection, or a negative number after stop().
    int wait_for_connection() const { return accept(m_socket.get(), nullptr, nullptr); }

    /// Ends wait_for_connection() on another thread.
    void stop() const { shutdown(m_socket.get(), SHUT_RDWR); }

private:
    base::file_descriptor m_socket;
    std::uint16_t m_port = 0;
};

} // namespace damaskladder::http
