#pragma once

#include "http/loopback_connection.hpp"
#include "http/loopback_listener.hpp"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace damaskladder::http {

/// Test server that sends the given bytes as responses, one for each request, then reads one more
/// request and closes. Closes at once after a response whose head does not end.
class raw_socket_fake {
public:
    explicit raw_socket_fake(std::vector<std::string> responses)
        : m_responses(std::move(responses)), m_thread([this] { serve(); })
    {
    }
    ~raw_socket_fake()
    {
        m_listener.stop();
        m_thread.join();
    }
    raw_socket_fake(const raw_socket_fake&) = delete;
    raw_socket_fake& operator=(const raw_socket_fake&) = delete;

    std::uint16_t port() const { return m_listener.port(); }
    std::size_t requests_seen() const { return m_requests_seen; }
    std::size_t connections_seen() const { return m_connections_seen; }

private:
    void serve()
    {
        std::size_t next = 0;
        for (;;) {
            const int connection = m_listener.wait_for_connection();
            if (connection < 0) {
                return;
            }
            ++m_connections_seen;
            while (read_request(connection) && next < m_responses.size()) {
                const auto& response = m_responses[next++];
                [[maybe_unused]] const auto sent =
                    send(connection, response.data(), response.size(), MSG_NOSIGNAL);
                const bool head_is_cut = response.find("\r\n\r\n") == std::string::npos;
                if (head_is_cut || response.find("Connection: close") != std::string::npos) {
                    break;
                }
            }
            close(connection);
        }
    }

    bool read_request(int connection)
    {
        std::string request;
        std::array<char, 4096> data{};
        while (request.find("\r\n\r\n") == std::string::npos) {
            const auto got = read(connection, data.data(), data.size());
            if (got <= 0) {
                return false;
            }
            request.append(data.data(), static_cast<std::size_t>(got));
        }
        ++m_requests_seen;
        return true;
    }

    std::vector<std::string> m_responses;
    loopback_listener m_listener;
    std::atomic<std::size_t> m_requests_seen = 0;
    std::atomic<std::size_t> m_connections_seen = 0;
    std::thread m_thread;
};

/// Test client that sends the given bytes.
class raw_socket_caller {
public:
    raw_socket_caller(std::uint16_t port, const std::string& bytes)
        : m_socket(connect_to_loopback(port))
    {
        write(bytes);
        fcntl(m_socket.get(), F_SETFL, O_NONBLOCK);
    }
    ~raw_socket_caller() = default;
    raw_socket_caller(const raw_socket_caller&) = delete;
    raw_socket_caller& operator=(const raw_socket_caller&) = delete;

    void write(const std::string& bytes) const
    {
        [[maybe_unused]] const auto sent =
            send(m_socket.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }
    void shut_down_sending() const { shutdown(m_socket.get(), SHUT_WR); }

    /// Reads the available bytes. Returns true when the server has closed the connection.
    bool try_read_all()
    {
        std::array<char, 4096> data{};
        for (;;) {
            const auto got = read(m_socket.get(), data.data(), data.size());
            if (got <= 0) {
                m_was_reset = m_was_reset || (got < 0 && errno == ECONNRESET);
                return got == 0 || errno != EAGAIN;
            }
            m_received.append(data.data(), static_cast<std::size_t>(got));
        }
    }
    const std::string& received() const { return m_received; }
    bool was_reset() const { return m_was_reset; }

private:
    base::file_descriptor m_socket;
    std::string m_received;
    bool m_was_reset = false;
};

} // namespace damaskladder::http
