#include "http/listener.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace damaskladder::http {

namespace {

/// Length of the accept queue. It must absorb a burst of new connections, because a client whose
/// connection attempt is dropped retries only after seconds.
constexpr int backlog = 1024;

} // namespace

listener::listener(base::file_descriptor listening) : m_descriptor(std::move(listening)) {}

base::result<listener> listener::open(const address& endpoint)
{
    base::file_descriptor made(
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP));
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_port = htons(endpoint.port);
    const int reuse = 1;
    const bool ready =
        made.is_open() && inet_pton(AF_INET, endpoint.ip.c_str(), &bound.sin_addr) == 1 &&
        setsockopt(made.get(), SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse) == 0 &&
        bind(made.get(), reinterpret_cast<const sockaddr*>(&bound), sizeof bound) == 0 &&
        ::listen(made.get(), backlog) == 0;
    if (!ready) {
        return base::fail(base::failure_kind::io, "listen", to_string(endpoint),
                          "the address is in use or does not belong to this VM");
    }
    return listener(std::move(made));
}

std::optional<stream_socket> listener::accept()
{
    base::file_descriptor made(
        accept4(descriptor(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    m_exhausted = !made.is_open() &&
                  (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM);
    if (!made.is_open()) {
        return std::nullopt;
    }
    return stream_socket(std::move(made));
}

std::uint16_t listener::port() const
{
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    getsockname(descriptor(), reinterpret_cast<sockaddr*>(&bound), &size);
    return ntohs(bound.sin_port);
}

} // namespace damaskladder::http
