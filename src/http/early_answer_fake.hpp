#pragma once

#include "http/loopback_listener.hpp"

#include <sys/socket.h>

#include <chrono>
#include <string>
#include <thread>
#include <utility>

namespace damaskladder::http {

/// How a test server ends its connection: a close is a FIN, and closing with unread bytes a reset.
enum class server_end { closed, reset, closed_then_reset };

/// Test server that answers one request before it has read the body, and then ends. It reads the
/// body only if it closes without a reset.
class early_answer_fake {
public:
    /// Time before each step, in which the client fills the buffers and waits for room.
    static constexpr auto until_blocked = std::chrono::milliseconds(100);

    early_answer_fake(std::string response, server_end end)
        : m_response(std::move(response)), m_end(end), m_thread([this] { serve(); })
    {
    }
    ~early_answer_fake()
    {
        m_listener.stop();
        m_thread.join();
    }
    early_answer_fake(const early_answer_fake&) = delete;
    early_answer_fake& operator=(const early_answer_fake&) = delete;

    std::uint16_t port() const { return m_listener.port(); }

private:
    void serve()
    {
        const base::file_descriptor connection(m_listener.wait_for_connection());
        if (!connection.is_open()) {
            return;
        }
        // The rest of the request stays unread.
        char first = '\0';
        recv(connection.get(), &first, 1, 0);
        std::this_thread::sleep_for(until_blocked);
        send(connection.get(), m_response.data(), m_response.size(), MSG_NOSIGNAL);
        std::this_thread::sleep_for(until_blocked);
        if (m_end != server_end::reset) {
            shutdown(connection.get(), SHUT_WR);
        }
        if (m_end == server_end::closed_then_reset) {
            std::this_thread::sleep_for(until_blocked);
        }
        if (m_end == server_end::closed) {
            std::string rest(std::size_t{64} * 1024, '\0');
            while (recv(connection.get(), rest.data(), rest.size(), 0) > 0) {
            }
        }
    }

    std::string m_response;
    server_end m_end;
    loopback_listener m_listener;
    std::thread m_thread;
};

} // namespace damaskladder::http
