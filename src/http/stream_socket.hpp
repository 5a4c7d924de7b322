#pragma once

#include "base/file_descriptor.hpp"
#include "base/time.hpp"
#include "http/address.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace damaskladder::http {

/// A non-blocking TCP connection over IPv4, for an event loop that watches it edge-triggered: each
/// change is told once, so the socket remembers what it was told.
class stream_socket {
public:
    /// Events to watch a connection for; the first if nothing is sent on it.
    static const std::uint32_t input_events;
    static const std::uint32_t all_events;

    /// Outcome of one read or write.
    struct io_result {
        enum class status {
            /// `size` bytes were moved.
            transferred,
            /// Nothing can be moved now.
            blocked,
            /// The peer has ended its side. Only for reads.
            ended,
            /// The connection is broken.
            failed,
        };
        status what = status::failed;
        std::size_t size = 0;
    };

    explicit stream_socket(base::file_descriptor connected);

    /// Starts to connect; finish_connect() tells the outcome once the socket is writable. Nothing
    /// if there is no descriptor or no way to the address.
    static std::optional<stream_socket> connect(const address& to);

    /// Whether the connection that connect() started stands.
    bool finish_connect() const;

    /// Takes in what the loop tells of the socket.
    void update_readiness(std::uint32_t events);
    /// Whether events tell that more can be written, that a connection stands, or that it failed.
    static bool signals_writable(std::uint32_t events);

    /// There may be something to read: bytes, or the peer's end.
    bool readable() const { return m_readable; }
    /// The peer has ended its side or the connection is broken; what it sent before can be read.
    bool peer_closed() const { return m_peer_closed; }

    io_result read(char* out, std::size_t size);
    io_result write(std::string_view data);

    /// Ends the own side; the peer reads the rest and then the end.
    void shut_down_sending() const;

    /// The connection counts as broken when sent bytes are not acknowledged for so long.
    void set_unacknowledged_timeout(base::duration limit) const;

    /// Closing the connection resets it, so that the peer cannot take what it got for the whole.
    void reset_on_close() const;

    int descriptor() const { return m_descriptor.get(); }

private:
    base::file_descriptor m_descriptor;
    bool m_readable = false;
    bool m_peer_closed = false;
};

} // namespace damaskladder::http
