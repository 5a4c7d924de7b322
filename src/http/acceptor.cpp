#include "http/acceptor.hpp"

#include <sys/epoll.h>

#include <utility>

namespace damaskladder::http {

namespace {

/// Maximum connections accepted per loop iteration, so that a burst does not starve other handlers.
constexpr int max_accepted = 64;
/// Delay before accepting again after descriptors ran out. Connections close continually, so one is
/// likely to be free by then.
constexpr base::duration accept_retry_delay = std::chrono::milliseconds(200);

} // namespace

acceptor::acceptor(event_loop& loop, connection_handler handler)
    : m_loop(loop), m_handler(std::move(handler))
{
}

acceptor::~acceptor()
{
    stop();
}

base::result<void> acceptor::listen(const address& endpoint)
{
    BOOST_LEAF_AUTO(opened, listener::open(endpoint));
    m_listener.emplace(std::move(opened));
    update_watch();
    return {};
}

void acceptor::pause()
{
    m_paused = true;
    update_watch();
}

void acceptor::resume()
{
    m_paused = false;
    // Called when a connection has closed, which frees a descriptor.
    m_exhausted = false;
    update_watch();
}

void acceptor::stop()
{
    if (std::exchange(m_watched, false)) {
        m_loop.unwatch(m_listener->descriptor());
    }
    m_listener.reset();
}

void acceptor::drain()
{
    accept_pending();
    stop();
}

void acceptor::update_watch()
{
    const bool wanted = m_listener && !m_paused && !m_exhausted;
    if (wanted == m_watched) {
        return;
    }
    m_watched = wanted;
    if (wanted) {
        m_loop.watch(m_listener->descriptor(), EPOLLIN,
                     [this](std::uint32_t) { accept_pending(); });
    }
    else {
        m_loop.unwatch(m_listener->descriptor());
    }
}

void acceptor::accept_pending()
{
    for (int accepted = 0; accepted < max_accepted && m_watched; ++accepted) {
        auto made = m_listener->accept();
        if (!made) {
            if (m_listener->exhausted()) {
                wait_for_descriptors();
            }
            return;
        }
        m_handler(std::move(*made));
    }
}

void acceptor::wait_for_descriptors()
{
    m_exhausted = true;
    update_watch();
    m_loop.call_at(event_loop::now() + accept_retry_delay,
                   [this, alive = std::weak_ptr<bool>(m_alive)] {
                       if (!alive.expired()) {
                           m_exhausted = false;
                           update_watch();
                       }
                   });
}

} // namespace damaskladder::http
