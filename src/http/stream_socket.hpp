#pragma once

#include "base/file_descriptor.hpp"
#include "base/time.hpp"
#include "http/address.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace damaskladder::http {

/// A non-blocking TCP connection over IPv4 for an edge-triggered event loop. The loop reports each
/// change only once, so the socket stores its readiness.
class stream_socket {
public:
    /// Events to watch for: input_events on a connection that only receives, otherwise all_events.
    static const std::uint32_t input_events;
    static const std::uint32_t all_events;

    /// Result of one read or write.
    struct io_result {
        enum class status {
            /// `size` bytes were read or written.
            transferred,
            /// The operation would block.
            blocked,
            /// The peer has closed its sending side, and everything before that was read. Only for
            /// reads.
            ended,
            /// The connection is broken. A read reports this, and never `ended`, if the connection
            /// broke before the peer had closed its sending side, whichever call met the error.
            failed,
        };
        status what = status::failed;
        std::size_t size = 0;
    };

    explicit stream_socket(base::file_descriptor connected);

    /// Starts connecting; finish_connect() returns the result once the socket is writable. Returns
    /// nullopt if no descriptor is available or the address is invalid or unreachable.
    static std::optional<stream_socket> connect(const address& to);

    /// Whether the connection started by connect() is established.
    bool finish_connect();

    /// Updates the stored readiness from epoll events.
    void update_readiness(std::uint32_t events);
    /// Whether the events signal that the socket is writable, or that connecting has succeeded or
    /// failed.
    static bool signals_writable(std::uint32_t events);

    /// There may be something to read: bytes or the end of the stream.
    bool readable() const { return m_readable; }
    /// The peer has closed its sending side or the connection is broken. Bytes received before that
    /// can still be read.
    bool peer_closed() const { return m_peer_closed; }

    io_result read(char* out, std::size_t size);
    io_result write(std::string_view data);

    /// Whether the peer has not yet acknowledged all bytes that were written.
    bool has_unacknowledged_output() const;

    /// Shuts down the sending side. The peer reads the remaining bytes and then the end of the
    /// stream.
    void shut_down_sending() const;

    /// Treats the connection as broken when sent bytes are not acknowledged within this time.
    void set_unacknowledged_timeout(base::duration limit) const;

    /// Makes close() reset the connection, so that the peer cannot mistake a partial response for a
    /// complete one.
    void reset_on_close() const;

    int descriptor() const { return m_descriptor.get(); }

private:
    /// Records the error that a call has returned. The kernel reports it to one call only; the ones
    /// after it see the same as after a close.
    void record_error(int error);

    base::file_descriptor m_descriptor;
    bool m_readable = false;
    bool m_peer_closed = false;
    /// The peer has closed its sending side while the connection was whole.
    bool m_peer_ended = false;
    /// The connection broke before that.
    bool m_broken = false;
};

} // namespace damaskladder::http
