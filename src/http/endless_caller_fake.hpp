#pragma once

#include "base/file_descriptor.hpp"
#include "http/endless_sender.hpp"
#include "http/loopback_connection.hpp"

#include <sys/socket.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>

namespace damaskladder::http {

/// Test caller that sends a request body without end as fast as the server reads it, until the
/// server closes the connection.
class endless_caller_fake {
public:
    enum class coding { sized, chunked };

    endless_caller_fake(std::uint16_t port, coding body)
        : m_body(body), m_socket(connect_to_loopback(port)), m_thread([this] { send_request(); })
    {
    }
    ~endless_caller_fake()
    {
        shutdown(m_socket.get(), SHUT_RDWR);
        m_thread.join();
    }
    endless_caller_fake(const endless_caller_fake&) = delete;
    endless_caller_fake& operator=(const endless_caller_fake&) = delete;

    std::size_t bytes_sent() const { return m_sender.bytes_sent(); }

private:
    void send_request()
    {
        const bool sized = m_body == coding::sized;
        const std::string head =
            std::string("POST / HTTP/1.1\r\nHost: a\r\n") +
            (sized ? "Content-Length: 99999999999" : "Transfer-Encoding: chunked") + "\r\n\r\n";
        const std::string data(endless_sender::piece_size, 'a');
        const std::string piece = sized ? data : "4000\r\n" + data + "\r\n";
        m_sender.send(m_socket.get(), head, piece);
    }

    coding m_body;
    base::file_descriptor m_socket;
    endless_sender m_sender;
    std::thread m_thread;
};

} // namespace damaskladder::http
