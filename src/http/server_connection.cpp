#include "http/server_connection.hpp"

#include "http/body_rules.hpp"
#include "http/reading_turn.hpp"
#include "http/server.hpp"

#include <sys/epoll.h>

#include <utility>

namespace damaskladder::http {

namespace {

/// A longer unread body is not worth reading just to reuse the connection.
constexpr std::size_t max_body_discarded = std::size_t{1024} * 1024;
/// Time for the peer to read the response and close its side after the sending side is shut down.
constexpr base::duration drain_timeout = std::chrono::seconds(2);
constexpr int bad_request = 400;
constexpr int target_too_long = 414;
constexpr int fields_too_long = 431;
constexpr std::string_view interim_response = "HTTP/1.1 100 Continue\r\n\r\n";

int status_of(message_parser::event problem)
{
    switch (problem) {
    case message_parser::event::target_too_long:
        return target_too_long;
    case message_parser::event::head_too_long:
        return fields_too_long;
    default:
        return bad_request;
    }
}

} // namespace

server_connection::server_connection(server& owner, stream_socket socket, base::time_point now)
    : m_owner(owner),
      m_socket(std::move(socket)),
      m_parser(message_parser::direction::requests,
               static_cast<std::size_t>(owner.limits().header_size.value())),
      m_last_active(now)
{
    m_parser.on_body([this](std::string_view data) { body_received(data); });
}

void server_connection::handle_events(std::uint32_t events)
{
    const auto keep = shared_from_this();
    m_socket.update_readiness(events);
    if (caller_disconnected()) {
        close();
        return;
    }
    if (stream_socket::signals_writable(events) && m_out.pending_size() > 0) {
        flush();
    }
    read_input();
    // The request may have arrived together with the caller's end of stream.
    if (caller_disconnected()) {
        close();
    }
}

bool server_connection::caller_disconnected() const
{
    return m_socket.peer_closed() && m_exchange != nullptr && !m_exchange->m_finished;
}

bool server_connection::wants_input() const
{
    if (m_closed) {
        return false;
    }
    if (m_draining || m_exchange == nullptr) {
        return true;
    }
    if (m_request_received) {
        return false;
    }
    const auto room = static_cast<std::size_t>(m_owner.limits().buffer_size.value());
    return m_exchange->m_finished || m_exchange->m_body.size() < room;
}

void server_connection::read_input()
{
    reading_turn turn;
    while (wants_input()) {
        if (!m_unparsed.empty()) {
            const auto saved = std::exchange(m_unparsed, {});
            parse_input(saved);
            continue;
        }
        if (!m_socket.readable()) {
            return;
        }
        if (turn.ended()) {
            continue_reading();
            return;
        }
        auto& buffer = m_owner.read_buffer();
        const auto got = m_socket.read(buffer.data(), buffer.size());
        switch (got.what) {
        case stream_socket::io_result::status::transferred:
            turn.add(got.size);
            if (!m_draining) {
                // A caller that sends on does not keep a connection open that is closing.
                m_last_active = m_owner.loop().woken_at();
            }
            parse_input({buffer.data(), got.size});
            break;
        case stream_socket::io_result::status::blocked:
            return;
        case stream_socket::io_result::status::ended:
        case stream_socket::io_result::status::failed:
            close();
            return;
        }
    }
}

void server_connection::close_if_idle()
{
    const auto keep = shared_from_this();
    if (m_closed || !is_idle()) {
        return;
    }
    m_socket.update_readiness(EPOLLIN);
    read_input();
    if (is_idle()) {
        close();
    }
}

void server_connection::parse_input(std::string_view data)
{
    while (!data.empty() && wants_input()) {
        if (m_draining) {
            return;
        }
        const auto [what, consumed] = m_parser.parse(data);
        data.remove_prefix(consumed);
        switch (what) {
        case message_parser::event::need_input:
            break;
        case message_parser::event::head:
            head_received();
            break;
        case message_parser::event::end:
            request_received();
            break;
        case message_parser::event::malformed:
        case message_parser::event::target_too_long:
        case message_parser::event::head_too_long:
            reject_input(status_of(what));
            return;
        }
    }
    m_unparsed.assign(data);
}

void server_connection::head_received()
{
    auto& parsed = m_parser.head();
    request_head head;
    head.method = std::move(parsed.method);
    head.target = std::move(parsed.target);
    head.headers = std::move(parsed.headers);
    head.body_size = parsed.body_size;
    m_close_after_response = !parsed.keep_alive;
    m_request_received = false;
    m_discarded = 0;
    if (parsed.is_http_1_1 && head.headers.find("Host") == nullptr) {
        reject_input(bad_request);
        return;
    }
    m_exchange = std::make_shared<exchange>(*this, std::move(head));
    ++m_owner.m_open;
    const auto handled = m_exchange;
    m_owner.m_handler(handled);
    if (m_exchange == handled && !handled->m_started && expects_interim_response()) {
        m_out.bytes() += interim_response;
        schedule_flush();
    }
}

bool server_connection::expects_interim_response() const
{
    const auto* expected = m_exchange->head().headers.find("Expect");
    return expected != nullptr && same_name(*expected, "100-continue");
}

void server_connection::body_received(std::string_view data)
{
    if (m_exchange == nullptr) {
        return;
    }
    if (m_exchange->m_finished) {
        m_discarded += data.size();
        m_close_after_response = m_close_after_response || m_discarded > max_body_discarded;
        return;
    }
    m_exchange->m_body.append(data);
    const auto receiving = m_exchange;
    if (receiving->m_on_body) {
        receiving->m_on_body();
    }
}

void server_connection::request_received()
{
    if (m_exchange == nullptr) {
        return;
    }
    m_request_received = true;
    const auto complete = m_exchange;
    complete->m_body_complete = true;
    if (complete->m_on_body) {
        complete->m_on_body();
    }
    if (m_exchange == complete && complete->m_finished) {
        schedule_flush();
    }
}

void server_connection::reject_input(int status)
{
    if (m_exchange != nullptr) {
        // The body cannot be parsed any further, so the request can never be completed.
        close();
        return;
    }
    response_head refusal;
    refusal.status = status;
    refusal.body_size = base::byte_count(0);
    append_response_head(m_out.bytes(), refusal, body_framing::sized, connection_option::close);
    start_draining();
    schedule_flush();
}

void server_connection::continue_reading()
{
    if (m_closed || m_reading_scheduled) {
        return;
    }
    m_reading_scheduled = true;
    m_owner.loop().post([self = shared_from_this()] {
        self->m_reading_scheduled = false;
        self->read_input();
    });
}

void server_connection::begin_response(const response_head& head)
{
    const auto& request = m_exchange->head();
    const bool http_1_1 = m_parser.head().is_http_1_1;
    if (request.method == "HEAD" || !has_body(head.status)) {
        m_framing = body_framing::none;
    }
    else if (head.body_size) {
        m_framing = body_framing::sized;
        m_response_remaining = head.body_size->value();
    }
    else {
        m_framing = http_1_1 ? body_framing::chunked : body_framing::until_close;
    }
    m_close_after_response =
        m_close_after_response || m_owner.m_draining || m_framing == body_framing::until_close;
    auto option = connection_option::none;
    if (m_close_after_response) {
        option = connection_option::close;
    }
    else if (!http_1_1) {
        option = connection_option::keep_alive;
    }
    append_response_head(m_out.bytes(), head, m_framing, option);
    schedule_flush();
}

void server_connection::write_response(std::string_view data)
{
    switch (m_framing) {
    case body_framing::none:
        return;
    case body_framing::sized:
        m_response_remaining -= static_cast<std::int64_t>(data.size());
        if (m_response_remaining < 0) {
            // The caller would parse bytes beyond Content-Length as the next response.
            m_exchange->abort();
            return;
        }
        m_out.bytes() += data;
        break;
    case body_framing::chunked:
        append_chunk(m_out.bytes(), data);
        break;
    case body_framing::until_close:
        m_out.bytes() += data;
        break;
    }
    schedule_flush();
}

void server_connection::end_response()
{
    if (m_framing == body_framing::sized && m_response_remaining != 0) {
        abort_response();
        return;
    }
    if (m_framing == body_framing::chunked) {
        append_last_chunk(m_out.bytes());
    }
    m_exchange->clear_hooks();
    if (!m_request_received) {
        const auto& size = m_exchange->head().body_size;
        const bool large = !size || *size > m_owner.limits().buffer_size;
        m_close_after_response = m_close_after_response || large;
        continue_reading();
    }
    schedule_flush();
}

void server_connection::abort_response()
{
    m_socket.reset_on_close();
    m_exchange->m_finished = true;
    close();
}

bool server_connection::has_output_space() const
{
    return m_out.pending_size() < static_cast<std::size_t>(m_owner.limits().buffer_size.value());
}

void server_connection::schedule_flush()
{
    if (!m_flush_scheduled) {
        m_flush_scheduled = true;
        m_owner.loop().post([self = shared_from_this()] {
            self->m_flush_scheduled = false;
            self->flush();
        });
    }
}

void server_connection::flush()
{
    if (m_closed) {
        return;
    }
    const bool was_full = !has_output_space();
    const auto sent = m_out.send(m_socket);
    if (sent.what == stream_socket::io_result::status::failed) {
        close();
        return;
    }
    if (sent.size > 0) {
        m_last_active = m_owner.loop().woken_at();
    }
    if (m_out.pending_size() == 0) {
        response_sent();
    }
    const auto writing = m_exchange;
    if (was_full && has_output_space() && writing != nullptr && writing->m_on_writable) {
        writing->m_on_writable();
    }
}

void server_connection::response_sent()
{
    if (m_draining) {
        m_socket.shut_down_sending();
        return;
    }
    if (m_exchange == nullptr || !m_exchange->m_finished) {
        return;
    }
    if (!m_request_received && !m_close_after_response) {
        // The remaining body must be read before the connection is reused.
        return;
    }
    end_exchange();
    if (m_close_after_response) {
        start_draining();
        m_socket.shut_down_sending();
    }
    else {
        m_out.release_memory();
        if (m_owner.m_closes_idle) {
            m_owner.loop().post([self = shared_from_this()] { self->close_if_idle(); });
        }
    }
    if (m_socket.readable() || !m_unparsed.empty()) {
        read_input();
    }
}

void server_connection::end_exchange()
{
    const auto ended = std::exchange(m_exchange, nullptr);
    if (ended == nullptr) {
        return;
    }
    --m_owner.m_open;
    ended->m_connection = nullptr;
    ended->clear_hooks();
}

void server_connection::start_draining()
{
    m_draining = true;
    m_unparsed.clear();
    m_last_active = m_owner.loop().woken_at();
}

void server_connection::check_idle(base::time_point now)
{
    const auto quiet = now - m_last_active;
    const bool callers_turn =
        m_exchange == nullptr || !m_request_received || m_out.pending_size() > 0;
    if ((m_draining && quiet > drain_timeout) ||
        (callers_turn && quiet > m_owner.limits().idle_time)) {
        close();
    }
}

void server_connection::abandon()
{
    m_closed = true;
    if (const auto left = std::exchange(m_exchange, nullptr)) {
        left->m_connection = nullptr;
        left->clear_hooks();
    }
}

void server_connection::close()
{
    if (m_closed) {
        return;
    }
    const auto keep = shared_from_this();
    m_closed = true;
    std::function<void()> on_disconnect;
    if (m_exchange != nullptr && !m_exchange->m_finished) {
        m_exchange->m_disconnected = true;
        m_exchange->m_finished = true;
        on_disconnect = std::exchange(m_exchange->m_on_disconnect, nullptr);
    }
    end_exchange();
    if (on_disconnect) {
        on_disconnect();
    }
    m_owner.remove(m_socket.descriptor());
}

} // namespace damaskladder::http
