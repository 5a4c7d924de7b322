#pragma once

#include "base/file_descriptor.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cstdint>
#include <stdexcept>
#include <string>

namespace damaskladder::http {

/// Test client that sends the given bytes and reads the answer in small parts, through a window and
/// segments so small that the kernels hold little of it.
class slow_caller {
public:
    slow_caller(std::uint16_t port, const std::string& bytes)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        constexpr int window = 4096;
        constexpr int segment = 536;
        setsockopt(m_socket.get(), SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
        setsockopt(m_socket.get(), IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
        sockaddr_in peer{};
        peer.sin_family = AF_INET;
        peer.sin_port = htons(port);
        peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (connect(m_socket.get(), reinterpret_cast<sockaddr*>(&peer), sizeof peer) != 0) {
            throw std::runtime_error("cannot connect to the server");
        }
        send(m_socket.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    /// Reads some available bytes without waiting.
    void read_some() { read(MSG_DONTWAIT); }

    /// Reads until the connection ends and returns the number of all bytes that were read.
    std::size_t read_to_the_end()
    {
        while (read(0)) {
        }
        return m_size;
    }

private:
    bool read(int flags)
    {
        std::array<char, 4096> part{};
        const auto got = recv(m_socket.get(), part.data(), part.size(), flags);
        m_size += got > 0 ? static_cast<std::size_t>(got) : 0;
        return got > 0;
    }

    base::file_descriptor m_socket;
    std::size_t m_size = 0;
};

} // namespace damaskladder::http
