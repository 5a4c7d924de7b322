#include "http/loopback_connection.hpp"
#include "http/loopback_listener.hpp"
#include "http/stream_socket.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <array>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace damaskladder::http {
namespace {

using status = stream_socket::io_result::status;

/// How the peer ends its side after it has sent some bytes.
enum class peer_end { closed, reset, closed_then_reset };
/// Calls on the socket between the end and the reads that follow.
enum class call { read_some, write, finish_connect, update_readiness };

struct end_case {
    std::string name;
    peer_end end;
    /// The event of the close is reported before the reset arrives.
    bool close_reported;
    std::vector<call> calls;
    status expected;
};

void PrintTo(const end_case& value, std::ostream* out)
{
    *out << value.name;
}

/// A socket and the descriptor of its peer, which has sent some bytes.
class connected_pair {
public:
    connected_pair()
    {
        const loopback_listener listener;
        auto connected = connect_to_loopback(listener.port());
        m_peer.emplace(listener.wait_for_connection());
        fcntl(connected.get(), F_SETFL, O_NONBLOCK);
        m_socket.emplace(std::move(connected));
        send(m_peer->get(), m_bytes.data(), m_bytes.size(), MSG_NOSIGNAL);
    }

    void end(const end_case& how)
    {
        if (how.end != peer_end::reset) {
            shutdown(m_peer->get(), SHUT_WR);
            wait_for(POLLRDHUP);
            if (how.close_reported) {
                m_socket->update_readiness(EPOLLIN | EPOLLRDHUP);
            }
        }
        if (how.end != peer_end::closed) {
            const linger none{1, 0};
            setsockopt(m_peer->get(), SOL_SOCKET, SO_LINGER, &none, sizeof none);
            m_peer.reset();
            wait_for(POLLHUP);
        }
    }

    void perform(call next)
    {
        std::array<char, 1> one{};
        switch (next) {
        case call::read_some:
            m_received += m_socket->read(one.data(), one.size()).size;
            break;
        case call::write:
            m_socket->write("x");
            break;
        case call::finish_connect:
            m_socket->finish_connect();
            break;
        case call::update_readiness:
            m_socket->update_readiness(EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR);
            break;
        }
    }

    /// Reads until something else than bytes comes.
    status read_to_the_end()
    {
        std::array<char, 64> buffer{};
        for (;;) {
            const auto got = m_socket->read(buffer.data(), buffer.size());
            if (got.what != status::transferred) {
                return got.what;
            }
            m_received += got.size;
        }
    }

    bool received_everything() const { return m_received == m_bytes.size(); }

private:
    void wait_for(short events) const
    {
        constexpr int limit_ms = 5000;
        pollfd waiting{m_socket->descriptor(), events, 0};
        ASSERT_EQ(poll(&waiting, 1, limit_ms), 1);
    }

    const std::string m_bytes = "some bytes";
    std::optional<base::file_descriptor> m_peer;
    std::optional<stream_socket> m_socket;
    std::size_t m_received = 0;
};

class ended_sockets : public testing::TestWithParam<end_case> {};

// Guards against a reset that looks like the peer's proper end: the kernel reports the error of a
// connection to one call only, and a read after that call returned the same as after a close.
TEST_P(ended_sockets, tell_a_reset_from_a_close)
{
    connected_pair pair;
    pair.end(GetParam());
    for (const auto next : GetParam().calls) {
        pair.perform(next);
    }
    EXPECT_EQ(pair.read_to_the_end(), GetParam().expected);
    EXPECT_EQ(pair.read_to_the_end(), GetParam().expected) << "at a repeated read";
    EXPECT_TRUE(pair.received_everything());
}

const auto reset = peer_end::reset;
const auto closed = peer_end::closed;
const auto closed_then_reset = peer_end::closed_then_reset;

INSTANTIATE_TEST_SUITE_P(
    table, ended_sockets,
    testing::Values(
        end_case{"reset", reset, false, {}, status::failed},
        end_case{"reset_then_write", reset, false, {call::write}, status::failed},
        end_case{"reset_then_two_writes", reset, false, {call::write, call::write}, status::failed},
        end_case{"reset_then_read_and_write",
                 reset,
                 false,
                 {call::read_some, call::write},
                 status::failed},
        end_case{"reset_then_finish_connect", reset, false, {call::finish_connect}, status::failed},
        end_case{"reset_then_event_and_write",
                 reset,
                 false,
                 {call::update_readiness, call::write},
                 status::failed},
        end_case{"closed", closed, false, {}, status::ended},
        end_case{"closed_then_write", closed, false, {call::write}, status::ended},
        end_case{
            "closed_then_finish_connect", closed, false, {call::finish_connect}, status::ended},
        end_case{"closed_and_reset", closed_then_reset, false, {}, status::ended},
        end_case{
            "closed_and_reset_then_write", closed_then_reset, false, {call::write}, status::ended},
        end_case{"closed_and_reset_then_two_writes",
                 closed_then_reset,
                 false,
                 {call::write, call::write},
                 status::ended},
        end_case{"close_reported_and_reset_then_write",
                 closed_then_reset,
                 true,
                 {call::update_readiness, call::write},
                 status::ended}),
    [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::http
