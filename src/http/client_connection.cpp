#include "http/client_connection.hpp"

#include "http/body_rules.hpp"
#include "http/client.hpp"
#include "http/reading_turn.hpp"
#include "http/transfer.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace damaskladder::http {

namespace {

/// Maximum size of a response head; the same limit as in browsers' HTTP libraries.
constexpr std::size_t max_response_head = std::size_t{64} * 1024;
/// Bytes of a request body read at a time, and the maximum buffered for sending.
constexpr std::size_t upload_read_size = std::size_t{16} * 1024;
constexpr std::size_t upload_buffer_size = std::size_t{64} * 1024;
constexpr int switching_protocols = 101;
/// Interim responses accepted before the final one. Servers send one or two.
constexpr int max_interim_responses = 16;
/// Servers that announce no timeout commonly close idle connections after 5 s or more.
constexpr base::duration default_idle_timeout = std::chrono::seconds(4);
/// The server starts its idle timer at a different time than the client and announces whole
/// seconds.
constexpr base::duration idle_margin = std::chrono::milliseconds(700);

} // namespace

client_connection::client_connection(client& owner, address to)
    : m_owner(owner),
      m_peer(std::move(to)),
      m_parser(message_parser::direction::responses, max_response_head),
      m_idle_timeout(default_idle_timeout)
{
    m_parser.on_body([this](std::string_view data) {
        if (m_transfer != nullptr && !m_interim) {
            m_transfer->body_received(data);
        }
    });
}

bool client_connection::connect(base::duration unacknowledged_timeout)
{
    m_socket = stream_socket::connect(m_peer);
    if (!m_socket) {
        return false;
    }
    if (unacknowledged_timeout > base::duration::zero()) {
        m_socket->set_unacknowledged_timeout(unacknowledged_timeout);
    }
    m_owner.loop().watch(m_socket->descriptor(), stream_socket::all_events,
                         [this](std::uint32_t events) { handle_events(events); });
    return true;
}

void client_connection::assign_transfer(std::shared_ptr<transfer> next)
{
    m_transfer = std::move(next);
    if (m_connected) {
        send_request();
    }
}

void client_connection::handle_events(std::uint32_t events)
{
    const auto keep = shared_from_this();
    m_socket->update_readiness(events);
    const bool may_write = stream_socket::signals_writable(events);
    if (!m_connected && may_write) {
        handle_connected();
    }
    if (!m_connected) {
        return;
    }
    if (m_transfer == nullptr) {
        if (m_socket->readable()) {
            close();
        }
        return;
    }
    if (may_write && !m_request_sent) {
        flush();
    }
    read_response();
}

void client_connection::handle_connected()
{
    if (!m_socket->finish_connect()) {
        const auto failed = std::exchange(m_transfer, nullptr);
        close();
        if (failed != nullptr) {
            failed->end({transfer_result::kind::not_sent, "connection refused or reset"});
        }
        return;
    }
    m_connected = true;
    if (m_transfer != nullptr) {
        send_request();
    }
}

void client_connection::send_request()
{
    const auto sending = m_transfer;
    m_bytes_sent = false;
    m_request_sent = false;
    m_interim = false;
    m_interim_responses = 0;
    sending->connection_ready(event_loop::now());
    if (m_transfer != sending || m_closed) {
        return;
    }
    const auto& head = sending->m_request.head;
    m_parser.expect_no_body(head.method == "HEAD");
    m_framing = append_request_head(m_out.bytes(), head, m_peer);
    m_body_remaining = head.body_size ? head.body_size->value() : 0;
    flush();
}

void client_connection::fill_from_body()
{
    while (m_framing == body_framing::sized || m_framing == body_framing::chunked) {
        if (m_framing == body_framing::sized && m_body_remaining == 0) {
            m_framing = body_framing::none;
            return;
        }
        if (m_out.pending_size() >= upload_buffer_size) {
            return;
        }
        const auto wanted =
            m_framing == body_framing::sized
                ? std::min(upload_read_size, static_cast<std::size_t>(m_body_remaining))
                : upload_read_size;
        std::string piece(wanted, '\0');
        const auto got = m_transfer->read_body(piece.data(), wanted);
        piece.resize(got);
        if (got == 0) {
            if (m_transfer->body_pending()) {
                return;
            }
            if (m_framing == body_framing::sized) {
                fail_transfer("request body shorter than its Content-Length");
                return;
            }
            append_last_chunk(m_out.bytes());
            m_framing = body_framing::none;
            return;
        }
        if (m_framing == body_framing::sized) {
            m_out.bytes() += piece;
            m_body_remaining -= static_cast<std::int64_t>(got);
        }
        else {
            append_chunk(m_out.bytes(), piece);
        }
    }
}

void client_connection::flush()
{
    while (m_transfer != nullptr) {
        fill_from_body();
        if (m_transfer == nullptr || m_out.pending_size() == 0) {
            break;
        }
        const auto sent = m_out.send(*m_socket);
        m_bytes_sent = m_bytes_sent || sent.size > 0;
        if (sent.what == stream_socket::io_result::status::failed && !m_bytes_sent) {
            const auto failed = std::exchange(m_transfer, nullptr);
            close();
            failed->end(
                {transfer_result::kind::not_sent, "the server closed the persistent connection"});
            return;
        }
        if (sent.what != stream_socket::io_result::status::transferred) {
            // After a failure the server's response may still be readable, so reading continues.
            return;
        }
    }
    if (m_out.pending_size() == 0) {
        m_request_sent = m_framing == body_framing::none;
    }
}

void client_connection::resume()
{
    if (m_closed || m_transfer == nullptr || !m_connected) {
        return;
    }
    const auto keep = shared_from_this();
    if (!m_request_sent) {
        flush();
    }
    read_response();
}

void client_connection::read_response()
{
    reading_turn turn;
    while (m_transfer != nullptr && m_socket->readable() && !m_transfer->paused()) {
        if (turn.ended()) {
            schedule_reading();
            return;
        }
        auto& buffer = m_owner.read_buffer();
        const auto got = m_socket->read(buffer.data(), buffer.size());
        switch (got.what) {
        case stream_socket::io_result::status::transferred:
            turn.add(got.size);
            parse_input({buffer.data(), got.size});
            break;
        case stream_socket::io_result::status::blocked:
            return;
        case stream_socket::io_result::status::ended:
            handle_end_of_input(true);
            return;
        case stream_socket::io_result::status::failed:
            handle_end_of_input(false);
            return;
        }
    }
}

void client_connection::schedule_reading()
{
    if (m_reading_scheduled) {
        return;
    }
    m_reading_scheduled = true;
    m_owner.loop().post([self = shared_from_this()] {
        self->m_reading_scheduled = false;
        self->read_response();
    });
}

void client_connection::parse_input(std::string_view data)
{
    while (!data.empty() && m_transfer != nullptr) {
        const auto [what, consumed] = m_parser.parse(data);
        data.remove_prefix(consumed);
        switch (what) {
        case message_parser::event::need_input:
            break;
        case message_parser::event::head:
            head_received();
            break;
        case message_parser::event::end:
            if (!m_interim) {
                response_received(!data.empty());
                return;
            }
            m_interim = false;
            break;
        case message_parser::event::malformed:
        case message_parser::event::target_too_long:
        case message_parser::event::head_too_long:
            fail_transfer("malformed response");
            return;
        }
    }
}

void client_connection::head_received()
{
    auto& parsed = m_parser.head();
    if (parsed.status == switching_protocols) {
        fail_transfer("unexpected 101 Switching Protocols response");
        return;
    }
    m_interim = parsed.status < first_final_status;
    if (m_interim) {
        if (++m_interim_responses > max_interim_responses) {
            fail_transfer("too many interim responses");
        }
        return;
    }
    m_keep_alive = parsed.keep_alive;
    parse_keep_alive();
    response_head head;
    head.status = parsed.status;
    head.headers = std::move(parsed.headers);
    head.body_size = parsed.body_size;
    m_transfer->head_received(std::move(head));
}

void client_connection::parse_keep_alive()
{
    const auto* field = m_parser.head().headers.find("Keep-Alive");
    if (field == nullptr) {
        return;
    }
    constexpr std::string_view key = "timeout=";
    const auto at = field->find(key);
    if (at == std::string::npos) {
        return;
    }
    int seconds = 0;
    const char* begin = field->data() + at + key.size();
    if (std::from_chars(begin, field->data() + field->size(), seconds).ec == std::errc()) {
        m_idle_timeout =
            std::max<base::duration>(std::chrono::seconds(seconds) - idle_margin, idle_margin);
    }
}

void client_connection::response_received(bool more_follows)
{
    const auto completed = std::exchange(m_transfer, nullptr);
    const bool reusable = m_keep_alive && m_request_sent && !more_follows &&
                          !m_socket->peer_closed() && !m_socket->readable() &&
                          !completed->m_request.fresh_connection;
    completed->m_connection.reset();
    if (reusable) {
        m_out.release_memory();
        m_idle_deadline = m_owner.loop().woken_at() + m_idle_timeout;
        m_owner.add_idle(shared_from_this());
    }
    else {
        close();
    }
    completed->response_complete();
}

void client_connection::handle_end_of_input(bool cleanly)
{
    if (cleanly && m_parser.finish() && !m_interim) {
        m_keep_alive = false;
        response_received(false);
        return;
    }
    fail_transfer("connection closed before the response was complete");
}

void client_connection::fail_transfer(const char* why)
{
    const auto failed = std::exchange(m_transfer, nullptr);
    close();
    if (failed != nullptr) {
        failed->m_connection.reset();
        failed->end({transfer_result::kind::broken, why});
    }
}

void client_connection::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    const auto keep = shared_from_this();
    if (m_socket) {
        m_owner.loop().unwatch(m_socket->descriptor());
    }
    m_owner.remove_idle(*this);
    m_socket.reset();
    m_connected = false;
    m_transfer.reset();
}

} // namespace damaskladder::http
