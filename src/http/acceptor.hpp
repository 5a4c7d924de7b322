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

/// Listens on one address and passes each accepted connection to a handler on the thread of an
/// event loop. When the process runs out of file descriptors, accepting is suspended for a short
/// time so that the loop does not spin on a listener that stays readable.
class acceptor {
public:
    using connection_handler = std::function<void(stream_socket)>;

    acceptor(event_loop& loop, connection_handler handler);
    ~acceptor();
    acceptor(const acceptor&) = delete;
    acceptor& operator=(const acceptor&) = delete;

    /// Starts listening. Port 0 binds to a free port; see port(). Fails with io.
    base::result<void> listen(const address& endpoint);
    /// The bound port; 0 before listen() and after stop().
    std::uint16_t port() const { return m_listener ? m_listener->port() : 0; }

    /// Leaves new connections in the accept queue until resume(). May be called from the handler.
    void pause();
    void resume();

    /// Accepts the connections that are waiting, up to the number for one round, and closes the
    /// listener.
    void drain();
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
    /// Lets posted calls that may outlive the acceptor detect its destruction.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace damaskladder::http
