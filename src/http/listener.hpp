#pragma once

#include "base/file_descriptor.hpp"
#include "base/result.hpp"
#include "http/address.hpp"
#include "http/stream_socket.hpp"

#include <cstdint>
#include <optional>

namespace damaskladder::http {

/// A non-blocking listening TCP socket.
class listener {
public:
    /// Port 0 binds to a free port; see port(). Fails with io.
    static base::result<listener> open(const address& endpoint);

    /// Accepts a pending connection, if there is one.
    std::optional<stream_socket> accept();

    /// Whether the last accept() failed because the process or the system is out of file
    /// descriptors or memory. The connection stays in the accept queue, so the listener stays
    /// readable.
    bool exhausted() const { return m_exhausted; }

    /// The bound port.
    std::uint16_t port() const;

    int descriptor() const { return m_descriptor.get(); }

private:
    explicit listener(base::file_descriptor listening);

    base::file_descriptor m_descriptor;
    bool m_exhausted = false;
};

} // namespace damaskladder::http
