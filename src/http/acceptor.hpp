#pragma once

#include "base/result.hpp"
#include "http/address.hpp"
#include "http/event_loop.hpp"
#include "http/listener.hpp"
#include "http/stream_socket.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace damaskladder::http {

/// Listens on one address and hands each connection to a hook, on the thread of an event loop. When
/// the process is out of descriptors it leaves the connections waiting for a while, so that the
/// loop does not spin.
class acceptor {
public:
    using connection_handler = std::function<void(stream_socket)>;

    acceptor(event_loop& loop, connection_handler handler);
    ~acceptor();
    acceptor(const acceptor&) = delete;
    acceptor& operator=(const acceptor&) = delete;

    /// Starts to listen. Port 0 takes a free port; see port(). Fails with io.
    base::result<void> listen(const address& endpoint);
    /// The port that was bound; 0 before listen() and after stop().
    std::uint16_t port() const { return m_listener ? m_listener->port() : 0; }

    /// Leaves new connections waiting until resume(). The hook may call it.
    void pause();
    void resume();

    /// Closes the listener.
    void stop();

private:
    void update_watch();
    void accept_pending();
    void wait_for_descriptors();

    event_loop& m_loop;
    connection_handler m_handler;
    std::optional<listener> m_listener;
    bool m_paused = false;
    bool m_exhausted = false;
    bool m_watched = false;
    /// Expires with the acceptor, for calls that may outlive it.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace damaskladder::http
