#pragma once

#include "base/file_descriptor.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <cstdint>
#include <stdexcept>

namespace damaskladder::http {

/// Test helper: a connection to a port of 127.0.0.1. Throws if the server does not accept it.
inline base::file_descriptor connect_to_loopback(std::uint16_t port)
{
    base::file_descriptor connection(socket(AF_INET, SOCK_STREAM, 0));
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(port);
    peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(connection.get(), reinterpret_cast<sockaddr*>(&peer), sizeof peer) != 0) {
        throw std::runtime_error("cannot connect to the server");
    }
    return connection;
}

} // namespace damaskladder::http
