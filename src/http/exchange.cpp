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
    // Behind other exchanges, a body counts towards the limit at which the connection stops
    // reading.
    if (m_connection != nullptr && (!m_body_complete || ahead() > 0)) {
        m_connection->continue_reading();
    }
}

std::size_t exchange::ahead() const
{
    return m_connection == nullptr ? 0 : m_connection->position(*this);
}

void exchange::on_turn(std::function<void()> hook)
{
    if (ahead() > 0) {
        m_on_turn = std::move(hook);
    }
}

std::vector<std::uint64_t> exchange::tags_ahead() const
{
    return m_connection == nullptr ? std::vector<std::uint64_t>{} : m_connection->tags_ahead(*this);
}

std::vector<std::uint64_t> exchange::tags_behind() const
{
    return m_connection == nullptr ? std::vector<std::uint64_t>{}
                                   : m_connection->tags_behind(*this);
}

void exchange::clear_hooks()
{
    m_on_body = nullptr;
    m_on_writable = nullptr;
    m_on_disconnect = nullptr;
    m_on_turn = nullptr;
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
    m_connection->begin_response(*this, head);
}

void exchange::write(std::string_view data)
{
    if (m_started && !m_finished && m_connection != nullptr) {
        m_connection->write_response(*this, data);
    }
}

void exchange::finish()
{
    if (!m_started || m_finished || m_connection == nullptr) {
        return;
    }
    m_finished = true;
    m_connection->end_response(*this);
}

void exchange::abort()
{
    if (m_finished || m_connection == nullptr) {
        return;
    }
    m_finished = true;
    m_connection->abort_response(*this);
}

bool exchange::writable() const
{
    return m_connection == nullptr || m_connection->has_output_space(*this);
}

} // namespace damaskladder::http
