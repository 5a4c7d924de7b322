#include "http/server_connection.hpp"

#include "http/body_rules.hpp"
#include "http/reading_turn.hpp"
#include "http/server.hpp"

#include <sys/epoll.h>

#include <algorithm>
#include <utility>

namespace damaskladder::http {

namespace {

/// A longer unread body is not worth reading just to reuse the connection.
constexpr std::size_t max_body_discarded = std::size_t{1024} * 1024;
/// Time for the peer to read the response and close its side after the sending side is shut down.
constexpr base::duration drain_timeout = std::chrono::seconds(2);
/// Interval between checks whether the peer has acknowledged the responses before an aborted one.
constexpr base::duration acknowledgement_interval = std::chrono::milliseconds(2);
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

std::vector<std::uint64_t> tags_of(const std::vector<std::shared_ptr<exchange>>& exchanges)
{
    std::vector<std::uint64_t> tags;
    tags.reserve(exchanges.size());
    for (const auto& each : exchanges) {
        tags.push_back(each->tag());
    }
    return tags;
}

} // namespace

server_connection::server_connection(server& owner, stream_socket socket, base::time_point now)
    : m_owner(owner),
      m_socket(std::move(socket)),
      m_parser(message_parser::direction::requests,
               static_cast<std::size_t>(owner.limits().header_size.value())),
      m_read_at(now),
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
    if (!m_socket.peer_closed() || m_queue.empty()) {
        return false;
    }
    const auto& behind = m_queue.behind_front();
    return !m_queue.front()->m_finished ||
           std::any_of(behind.begin(), behind.end(),
                       [](const auto& open) { return !open->m_finished; });
}

bool server_connection::wants_input() const
{
    if (m_closed) {
        return false;
    }
    if (m_draining || m_queue.empty()) {
        return true;
    }
    const auto& last = *m_queue.back();
    if (last.m_body_complete) {
        return wants_request();
    }
    if (last.m_finished) {
        return !last.m_closes || is_front(last);
    }
    const auto& limits = m_owner.limits();
    return last.m_body.size() < static_cast<std::size_t>(limits.buffer_size.value()) &&
           m_queue.waiting_bytes() < static_cast<std::size_t>(limits.waiting_size.value());
}

bool server_connection::wants_request() const
{
    const auto& limits = m_owner.limits();
    return m_queue.size() < limits.requests_ahead && !m_queue.back()->m_closes &&
           !m_owner.m_draining &&
           m_queue.waiting_bytes() < static_cast<std::size_t>(limits.waiting_size.value());
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
            m_read_at = m_owner.loop().woken_at();
            if (!m_draining) {
                // A caller that sends on does not keep a connection open that is closing.
                m_last_active = m_read_at;
            }
            parse_input({buffer.data(), got.size});
            break;
        case stream_socket::io_result::status::blocked:
            return;
        case stream_socket::io_result::status::ended:
            input_ended();
            return;
        case stream_socket::io_result::status::failed:
            close();
            return;
        }
    }
}

void server_connection::input_ended()
{
    const bool responses_ready =
        !m_queue.empty() && m_queue.back()->m_body_complete && !caller_disconnected();
    if (!responses_ready) {
        close();
    }
    // Otherwise the end is read again after the responses have been sent.
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
    if (parsed.is_http_1_1 && head.headers.find("Host") == nullptr) {
        reject_input(bad_request);
        return;
    }
    const auto handled = std::make_shared<exchange>(*this, std::move(head));
    handled->m_is_http_1_1 = parsed.is_http_1_1;
    handled->m_closes = !parsed.keep_alive;
    handled->m_received_at = m_read_at;
    m_queue.push(handled);
    ++m_owner.m_open;
    m_owner.m_handler(handled);
    if (is_front(*handled)) {
        send_interim_response();
    }
}

void server_connection::send_interim_response()
{
    const auto& first = *m_queue.front();
    if (first.m_started || first.m_body_complete || !first.m_body.empty()) {
        return;
    }
    const auto* expected = first.head().headers.find("Expect");
    if (expected != nullptr && same_name(*expected, "100-continue")) {
        m_out.bytes() += interim_response;
        schedule_flush();
    }
}

void server_connection::body_received(std::string_view data)
{
    // Body bytes of a request whose exchange was removed are no part of the one before it.
    if (m_queue.empty() || m_queue.back()->m_body_complete) {
        return;
    }
    const auto receiving = m_queue.back();
    if (receiving->m_finished) {
        receiving->m_discarded += data.size();
        receiving->m_closes = receiving->m_closes || receiving->m_discarded > max_body_discarded;
        return;
    }
    receiving->m_body.append(data);
    receiving->m_received_at = m_read_at;
    if (receiving->m_on_body) {
        receiving->m_on_body();
    }
}

void server_connection::request_received()
{
    if (m_queue.empty() || m_queue.back()->m_body_complete) {
        return;
    }
    const auto complete = m_queue.back();
    complete->m_body_complete = true;
    if (complete->m_on_body) {
        complete->m_on_body();
    }
    if (complete->m_connection != nullptr && complete->m_finished) {
        schedule_flush();
    }
}

void server_connection::reject_input(int status)
{
    if (!m_queue.empty() && !m_queue.back()->m_body_complete) {
        // The body cannot be parsed any further, so the request can never be completed.
        const auto broken = m_queue.back();
        if (is_front(*broken)) {
            close();
            return;
        }
        if (broken->m_finished) {
            broken->m_closes = true;
            return;
        }
        const auto before = m_queue.ahead_of(*broken).back();
        disconnect(m_queue.remove_behind(*before));
    }
    const auto rejected = std::make_shared<exchange>(*this, request_head());
    rejected->m_body_complete = true;
    m_queue.push(rejected);
    ++m_owner.m_open;
    rejected->m_closes = true;
    response_head refusal;
    refusal.status = status;
    rejected->respond(std::move(refusal), {});
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

std::vector<std::uint64_t> server_connection::tags_ahead(const exchange& of) const
{
    return tags_of(m_queue.ahead_of(of));
}

std::vector<std::uint64_t> server_connection::tags_behind(const exchange& of) const
{
    return tags_of(m_queue.behind(of));
}

void server_connection::begin_response(exchange& of, const response_head& head)
{
    const bool is_last = &of == m_queue.back().get();
    of.m_output = response_output(of.head(), of.m_is_http_1_1, head);
    of.m_closes = of.m_closes || (m_owner.m_draining && is_last) || of.m_output.ends_connection();
    of.m_output.append_head(buffer_of(of), head, of.m_closes);
    schedule_flush();
    if (of.m_closes && !is_last) {
        disconnect(m_queue.remove_behind(of));
    }
}

void server_connection::write_response(exchange& of, std::string_view data)
{
    if (of.m_output.append_body(buffer_of(of), data)) {
        schedule_flush();
    }
    else {
        of.abort();
    }
}

void server_connection::end_response(exchange& of)
{
    if (!of.m_output.append_end(buffer_of(of))) {
        abort_response(of);
        return;
    }
    of.clear_hooks();
    if (!of.m_body_complete) {
        const auto& size = of.head().body_size;
        const bool large = !size || *size > m_owner.limits().buffer_size;
        of.m_closes = of.m_closes || large;
        continue_reading();
    }
    schedule_flush();
}

void server_connection::abort_response(exchange& of)
{
    const auto keep = shared_from_this();
    of.m_finished = true;
    of.m_aborted = true;
    of.m_closes = true;
    of.m_waiting_output = {};
    of.clear_hooks();
    disconnect(m_queue.remove_behind(of));
    if (is_front(of) && !m_earlier_output) {
        m_socket.reset_on_close();
        close();
        return;
    }
    // The responses before it are sent first.
    schedule_flush();
}

bool server_connection::has_output_space(const exchange& of) const
{
    const auto& limits = m_owner.limits();
    const auto room = static_cast<std::size_t>(limits.buffer_size.value());
    if (is_front(of)) {
        return m_out.pending_size() < room;
    }
    return of.m_waiting_output.size() < room &&
           m_queue.waiting_bytes() < static_cast<std::size_t>(limits.waiting_size.value());
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
    const bool was_full = !m_queue.empty() && !has_output_space(*m_queue.front());
    const bool advanced = end_complete_exchanges();
    const auto sent = m_out.send(m_socket);
    if (sent.what == stream_socket::io_result::status::failed) {
        close();
        return;
    }
    if (sent.size > 0) {
        m_last_active = m_owner.loop().woken_at();
    }
    if (m_out.pending_size() == 0) {
        output_sent();
    }
    if (m_closed || m_queue.empty()) {
        return;
    }
    if (was_full || advanced) {
        notify_writable(m_queue.front());
    }
    if (advanced) {
        // The end of an exchange makes room within the limit of waiting bytes.
        const auto waiting = m_queue.behind_front();
        for (const auto& each : waiting) {
            notify_writable(each);
        }
        read_input();
    }
}

bool server_connection::end_complete_exchanges()
{
    bool advanced = false;
    while (m_queue.size() > 1 && m_queue.front()->m_finished && !m_queue.front()->m_closes) {
        end_exchange(*m_queue.pop_front());
        m_earlier_output = m_out.pending_size() > 0;
        auto& next = *m_queue.front();
        m_out.bytes() += std::exchange(next.m_waiting_output, {});
        send_interim_response();
        advanced = true;
    }
    return advanced;
}

void server_connection::notify_writable(const std::shared_ptr<exchange>& to)
{
    if (to->m_connection != nullptr && to->m_on_writable && has_output_space(*to)) {
        // A copy, because the hook may complete the exchange, which releases its hooks.
        const auto hook = to->m_on_writable;
        hook();
    }
}

void server_connection::output_sent()
{
    m_earlier_output = false;
    if (m_draining) {
        m_socket.shut_down_sending();
        return;
    }
    if (m_queue.empty()) {
        return;
    }
    const auto first = m_queue.front();
    if (first->m_finished) {
        front_complete();
    }
    else if (const auto on_turn = std::exchange(first->m_on_turn, nullptr)) {
        on_turn();
    }
}

void server_connection::front_complete()
{
    const auto& first = *m_queue.front();
    if (first.m_aborted) {
        reset_when_acknowledged();
        return;
    }
    const bool closes = first.m_closes;
    if (!first.m_body_complete && !closes) {
        // The remaining body must be read before the connection is reused.
        return;
    }
    if (closes) {
        disconnect(m_queue.remove_behind(first));
    }
    end_exchange(*m_queue.pop_front());
    if (closes) {
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

void server_connection::reset_when_acknowledged()
{
    // A reset discards what the peer has not acknowledged, and with it the responses before the
    // aborted one.
    if (m_socket.has_unacknowledged_output()) {
        m_owner.loop().call_at(event_loop::now() + acknowledgement_interval,
                               [self = shared_from_this()] { self->flush(); });
        return;
    }
    m_socket.reset_on_close();
    close();
}

void server_connection::end_exchange(exchange& ended)
{
    --m_owner.m_open;
    ended.m_connection = nullptr;
    ended.clear_hooks();
}

void server_connection::disconnect(const std::vector<std::shared_ptr<exchange>>& open)
{
    std::vector<std::function<void()>> hooks;
    for (const auto& each : open) {
        if (!each->m_finished) {
            each->m_disconnected = true;
            each->m_finished = true;
            if (each->m_on_disconnect) {
                hooks.push_back(std::move(each->m_on_disconnect));
            }
        }
        end_exchange(*each);
    }
    for (const auto& hook : hooks) {
        hook();
    }
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
    // Behind other exchanges, the caller may be waiting for them before it sends its body.
    const bool callers_turn = m_queue.empty() || m_out.pending_size() > 0 ||
                              m_queue.front()->m_aborted ||
                              (m_queue.size() == 1 && !m_queue.front()->m_body_complete);
    if ((m_draining && quiet > drain_timeout) ||
        (callers_turn && quiet > m_owner.limits().idle_time)) {
        close();
    }
}

void server_connection::abandon()
{
    m_closed = true;
    for (const auto& left : m_queue.clear()) {
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
    disconnect(m_queue.clear());
    m_owner.remove(m_socket.descriptor());
}

} // namespace damaskladder::http
