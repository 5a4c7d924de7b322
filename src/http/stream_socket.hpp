#pragma once

#include "base/file_descriptor.hpp"
#include "base/time.hpp"
#include "http/address.hpp"

#include <cstddef>
#include <optional>
#include <string_view>

namespace damaskladder::http {

/// A non-blocking TCP connection over IPv4.
class stream_socket {
public:
    /// Outcome of one read or write.
    struct io_result {
        enum class status {
            /// `size` bytes were moved.
            moved,
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

    io_result read(char* out, std::size_t size) const;
    io_result write(std::string_view data) const;

    /// Ends the own side; the peer reads the rest and then the end.
    void shut_down_sending() const;

    /// The connection counts as broken when sent bytes are not acknowledged for so long.
    void set_unacknowledged_timeout(base::duration limit) const;

    /// Closing the connection resets it, so that the peer cannot take what it got for the whole.
    void reset_on_close() const;

    int descriptor() const { return m_descriptor.get(); }

private:
    base::file_descriptor m_descriptor;
};

} // namespace damaskladder::http
