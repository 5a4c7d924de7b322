#include "http/exchange.hpp"

#include "http/server_connection.hpp"

#include <utility>

namespace damaskladder::http {

exchange::exchange(server_connection& connection, request_head head)
    : m_connection(&connection), m_head(std::move(head))
{
}

void exchange::consume_body(std::size_t size)
{
    m_body.erase(0, size);
    if (m_connection != nullptr && !m_body_complete) {
        m_connection->continue_reading();
    }
}

void exchange::clear_hooks()
{
    m_on_body = nullptr;
    m_on_writable = nullptr;
    m_on_disconnect = nullptr;
}

void exchange::respond(response_head head, std::string_view body)
{
    head.body_size = base::byte_count(static_cast<std::int64_t>(body.size()));
    start(head);
    write(body);
    finish();
}

void exchange::start(const response_head& head)
{
    if (m_started || m_connection == nullptr) {
        return;
    }
    m_started = true;
    m_connection->begin_response(head);
}

void exchange::write(std::string_view data)
{
    if (m_started && !m_finished && m_connection != nullptr) {
        m_connection->write_response(data);
    }
}

void exchange::finish()
{
    if (!m_started || m_finished || m_connection == nullptr) {
        return;
    }
    m_finished = true;
    m_connection->end_response();
}

void exchange::abort()
{
    if (m_finished || m_connection == nullptr) {
        return;
    }
    m_finished = true;
    m_connection->abort_response();
}

bool exchange::writable() const
{
    return m_connection == nullptr || m_connection->has_output_space();
}

} // namespace damaskladder::http
