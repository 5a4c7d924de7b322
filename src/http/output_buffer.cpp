#include "http/output_buffer.hpp"

#include <string_view>

namespace damaskladder::http {

namespace {

/// Maximum capacity retained by an idle connection.
constexpr std::size_t max_idle_capacity = std::size_t{4} * 1024;

} // namespace

stream_socket::io_result output_buffer::send(stream_socket& socket)
{
    using status = stream_socket::io_result::status;
    std::size_t total = 0;
    while (pending_size() > 0) {
        const auto sent = socket.write(std::string_view(m_bytes).substr(m_sent));
        if (sent.what != status::transferred) {
            return {sent.what, total};
        }
        m_sent += sent.size;
        total += sent.size;
    }
    clear();
    return {status::transferred, total};
}

void output_buffer::clear()
{
    m_bytes.clear();
    m_sent = 0;
}

void output_buffer::release_memory()
{
    if (pending_size() == 0 && m_bytes.capacity() > max_idle_capacity) {
        m_bytes = {};
        m_sent = 0;
    }
}

} // namespace damaskladder::http
