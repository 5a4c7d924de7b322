#pragma once

#include "base/file_descriptor.hpp"
#include "base/result.hpp"
#include "http/address.hpp"
#include "http/stream_socket.hpp"

#include <cstdint>
#include <optional>

namespace damaskladder::http {

/// A listening TCP socket, non-blocking.
class listener {
public:
    /// Port 0 takes a free port; see port(). Fails with io.
    static base::result<listener> open(const address& endpoint);

    /// A connection that waits to be accepted, if there is one.
    std::optional<stream_socket> accept();

    /// The last accept() failed because the process or the system is out of descriptors or memory.
    /// The connection goes on waiting, so the listener stays readable.
    bool exhausted() const { return m_exhausted; }

    /// The port that was bound.
    std::uint16_t port() const;

    int descriptor() const { return m_descriptor.get(); }

private:
    explicit listener(base::file_descriptor listening);

    base::file_descriptor m_descriptor;
    bool m_exhausted = false;
};

} // namespace damaskladder::http
