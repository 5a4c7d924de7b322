#include "http/server.hpp"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>

namespace damaskladder::http {

namespace {

constexpr std::size_t max_body_discarded = std::size_t{1024} * 1024;

} // namespace

/// C callbacks of libmicrohttpd, which pass `cls` = server.
struct server_callbacks {
    using holder = std::shared_ptr<exchange>;

    static int descriptor(MHD_Connection* connection)
    {
        const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        return info->connect_fd;
    }

    // Called with the request target before it is decoded; what it returns becomes *con_cls.
    static void* target_received(void* cls, const char* uri, MHD_Connection*)
    {
        auto* self = static_cast<server*>(cls);
        ++self->m_open;
        return new holder(std::make_shared<exchange>(*self, uri));
    }

    static MHD_Result add_header(void* cls, MHD_ValueKind, const char* key, const char* value)
    {
        static_cast<header_list*>(cls)->add(key, value != nullptr ? value : "");
        return MHD_YES;
    }

    static void read_head(exchange& request, MHD_Connection* connection, const char* method)
    {
        request.m_connection = connection;
        request.m_head.method = method;
        MHD_get_connection_values(connection, MHD_HEADER_KIND, add_header, &request.m_head.headers);
        const auto* length = request.m_head.headers.find("Content-Length");
        if (request.m_head.headers.find("Transfer-Encoding") != nullptr) {
            request.m_head.body_size.reset();
        }
        else if (length != nullptr) {
            std::int64_t size = 0;
            std::from_chars(length->data(), length->data() + length->size(), size);
            request.m_head.body_size = base::byte_count(size);
        }
    }

    static MHD_Result request_progress(void* cls, MHD_Connection* connection, const char*,
                                       const char* method, const char*, const char* data,
                                       std::size_t* size, void** con_cls)
    {
        auto* self = static_cast<server*>(cls);
        const holder request = *static_cast<holder*>(*con_cls);
        if (!request->m_head_seen) {
            request->m_head_seen = true;
            read_head(*request, connection, method);
            self->m_connections[descriptor(connection)] = request;
            self->m_handler(request);
            if (request->m_started && request->m_finished && has_large_body(*request)) {
                // An answer queued here closes the connection, so the body need not be read.
                return request->queue_answer() ? MHD_YES : MHD_NO;
            }
            return MHD_YES;
        }
        if (*size != 0) {
            return body_received(*request, data, size);
        }
        if (!request->m_body_complete) {
            request->m_body_complete = true;
            if (request->m_on_body) {
                request->m_on_body();
            }
        }
        if (!request->m_started) {
            request->suspend();
            return MHD_YES;
        }
        return request->queue_answer() ? MHD_YES : MHD_NO;
    }

    static bool has_large_body(const exchange& request)
    {
        const auto& size = request.m_head.body_size;
        return !size || *size > request.m_server.m_limits.buffer_size;
    }

    static MHD_Result body_received(exchange& request, const char* data, std::size_t* size)
    {
        if (request.m_started && request.m_finished) {
            // The answer does not depend on the rest of the body. A short rest is read so that the
            // connection can be kept; a long one is not worth its time.
            request.m_body_discarded += *size;
            *size = 0;
            return request.m_body_discarded <= max_body_discarded ? MHD_YES : MHD_NO;
        }
        const auto limit = static_cast<std::size_t>(request.m_server.m_limits.buffer_size.value());
        const auto room = limit - std::min(limit, request.m_body.size());
        const auto taken = std::min(room, *size);
        request.m_body.append(data, taken);
        *size -= taken;
        if (taken != 0 && request.m_on_body) {
            request.m_on_body();
        }
        if (*size != 0 && request.m_body.size() >= limit) {
            request.suspend();
        }
        return MHD_YES;
    }

    static void request_completed(void* cls, MHD_Connection* connection, void** con_cls,
                                  MHD_RequestTerminationCode code)
    {
        auto* self = static_cast<server*>(cls);
        auto* held = static_cast<holder*>(*con_cls);
        if (held == nullptr) {
            return;
        }
        const holder request = *held;
        delete held;
        *con_cls = nullptr;
        --self->m_open;
        request->m_connection = nullptr;
        if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && !request->m_gone) {
            request->m_gone = true;
            if (request->m_on_gone) {
                request->m_on_gone();
            }
        }
        request->clear_hooks();
        const auto open = self->m_connections.find(descriptor(connection));
        if (open != self->m_connections.end()) {
            open->second.reset();
        }
    }

    static void connection_changed(void* cls, MHD_Connection* connection, void**,
                                   MHD_ConnectionNotificationCode code)
    {
        auto* self = static_cast<server*>(cls);
        if (code == MHD_CONNECTION_NOTIFY_STARTED) {
            self->connection_opened(descriptor(connection));
        }
        else {
            self->connection_closed(descriptor(connection));
        }
    }
};

server::server(event_loop& loop, server_limits limits, request_handler handler)
    : m_loop(loop), m_limits(limits), m_handler(std::move(handler))
{
}

server::~server()
{
    if (m_daemon != nullptr) {
        const auto* info = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD);
        m_loop.unwatch(info->epoll_fd);
        for (auto& [fd, request] : m_connections) {
            if (const auto open = request.lock()) {
                open->clear_hooks();
                open->resume();
            }
        }
        MHD_stop_daemon(m_daemon);
    }
}

base::result<void> server::listen(const address& endpoint)
{
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.ip.c_str(), &bound.sin_addr);
    const auto idle = std::chrono::duration_cast<std::chrono::seconds>(m_limits.idle_time);
    m_daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_SUPPRESS_DATE_NO_CLOCK, 0, nullptr,
        nullptr, server_callbacks::request_progress, this, MHD_OPTION_SOCK_ADDR, &bound,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, static_cast<std::size_t>(m_limits.header_size.value()),
        MHD_OPTION_CONNECTION_LIMIT, m_limits.max_connections, MHD_OPTION_CONNECTION_TIMEOUT,
        static_cast<unsigned>(idle.count()), MHD_OPTION_URI_LOG_CALLBACK,
        server_callbacks::target_received, this, MHD_OPTION_NOTIFY_COMPLETED,
        server_callbacks::request_completed, this, MHD_OPTION_NOTIFY_CONNECTION,
        server_callbacks::connection_changed, this, MHD_OPTION_STRICT_FOR_CLIENT, 1,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U,
        MHD_OPTION_END);
    if (m_daemon == nullptr) {
        return base::fail(base::failure_kind::io, "listen", to_string(endpoint),
                          "the address is in use or not one of this VM");
    }
    m_port = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    const int fd = MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    m_loop.watch(fd, EPOLLIN, [this](std::uint32_t) { m_pending = true; });
    m_loop.each_round([this](base::time_point now) -> std::optional<base::time_point> {
        m_pending = m_pending || (m_run_at && now >= *m_run_at);
        if (m_pending) {
            run_pending();
            m_run_at = next_run(now);
        }
        return m_run_at;
    });
    return {};
}

std::optional<base::time_point> server::next_run(base::time_point now) const
{
    constexpr std::uint64_t longest_ms = 1000;
    MHD_UNSIGNED_LONG_LONG wait_ms = 0;
    if (m_daemon == nullptr || MHD_get_timeout(m_daemon, &wait_ms) != MHD_YES) {
        return std::nullopt;
    }
    return now + std::chrono::milliseconds(std::min<std::uint64_t>(wait_ms, longest_ms));
}

void server::run_pending()
{
    // Answers that become ready while libmicrohttpd runs mark the server pending again.
    constexpr int max_passes = 8;
    for (int pass = 0; m_pending && m_daemon != nullptr && pass < max_passes; ++pass) {
        m_pending = false;
        MHD_run(m_daemon);
    }
    if (m_pending) {
        m_loop.request_round();
    }
}

void server::close_kept_connections()
{
    m_draining = true;
}

void server::drain()
{
    if (m_daemon != nullptr && !m_quiesced) {
        m_draining = true;
        m_quiesced = true;
        const int listening = MHD_quiesce_daemon(m_daemon);
        if (listening >= 0) {
            close(listening);
        }
        m_pending = true;
    }
}

void server::close_idle_connections()
{
    for (const auto& [fd, request] : m_connections) {
        if (request.expired()) {
            shutdown(fd, SHUT_RDWR);
        }
    }
}

void server::connection_opened(int fd)
{
    m_connections[fd] = {};
    // libmicrohttpd does not look at the socket of a suspended connection, so a caller that leaves
    // is noticed here. Edge-triggered: one event for each closed connection.
    m_loop.watch(fd, static_cast<std::uint32_t>(EPOLLRDHUP) | static_cast<std::uint32_t>(EPOLLET),
                 [this, fd](std::uint32_t) { caller_gone(fd); });
}

void server::connection_closed(int fd)
{
    m_loop.unwatch(fd);
    m_connections.erase(fd);
}

void server::caller_gone(int fd)
{
    const auto found = m_connections.find(fd);
    if (found == m_connections.end()) {
        return;
    }
    const auto request = found->second.lock();
    if (!request) {
        // libmicrohttpd misses an end of input that arrives together with data, and would keep the
        // connection until it is idle for too long.
        shutdown(fd, SHUT_RDWR);
        return;
    }
    if (request->m_gone || request->m_finished) {
        return;
    }
    request->m_gone = true;
    if (request->m_on_gone) {
        request->m_on_gone();
    }
    request->clear_hooks();
    request->abort();
}

} // namespace damaskladder::http
