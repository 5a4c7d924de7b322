#include "http/exchange.hpp"

#include "http/server.hpp"

#include <microhttpd.h>

#include <algorithm>
#include <cstring>
#include <memory>

namespace damaskladder::http {

namespace {

constexpr std::size_t answer_block_size = std::size_t{16} * 1024;

} // namespace

/// Keeps the exchange alive for as long as libmicrohttpd may ask for bytes of its answer.
struct exchange::chunk_reader {
    std::shared_ptr<exchange> owner;

    static ssize_t read(void* cls, std::uint64_t, char* out, std::size_t size)
    {
        return static_cast<chunk_reader*>(cls)->owner->read_answer(out, size);
    }

    static void release(void* cls) { delete static_cast<chunk_reader*>(cls); }
};

exchange::exchange(server& owner, std::string target) : m_server(owner)
{
    m_head.target = std::move(target);
}

exchange::~exchange() = default;

void exchange::consume_body(std::size_t size)
{
    m_body.erase(0, size);
    if (m_suspended && !m_body_complete) {
        resume();
    }
}

void exchange::clear_hooks()
{
    m_on_body = nullptr;
    m_on_writable = nullptr;
    m_on_gone = nullptr;
}

void exchange::suspend()
{
    if (!m_suspended && m_connection != nullptr) {
        m_suspended = true;
        MHD_suspend_connection(m_connection);
    }
}

void exchange::resume()
{
    if (m_suspended && m_connection != nullptr) {
        m_suspended = false;
        MHD_resume_connection(m_connection);
        m_server.m_pending = true;
        m_server.m_loop.request_round();
    }
}

void exchange::respond(response_head head, std::string_view body)
{
    head.body_size = base::byte_count(static_cast<std::int64_t>(body.size()));
    start(std::move(head));
    write(body);
    finish();
}

void exchange::start(response_head head)
{
    if (m_started || m_connection == nullptr) {
        return;
    }
    m_answer = std::move(head);
    m_started = true;
    resume();
}

void exchange::write(std::string_view data)
{
    if (m_finished || m_connection == nullptr || data.empty()) {
        return;
    }
    m_out.append(data);
    if (m_queued) {
        resume();
    }
}

void exchange::finish()
{
    m_finished = true;
    resume();
}

void exchange::abort()
{
    if (m_finished) {
        return;
    }
    m_aborted = true;
    m_finished = true;
    m_started = true;
    resume();
}

bool exchange::writable() const
{
    return m_out.size() - m_out_read <
           static_cast<std::size_t>(m_server.limits().buffer_size.value());
}

MHD_Response* exchange::make_response()
{
    const auto size = m_answer.body_size ? static_cast<std::uint64_t>(m_answer.body_size->value())
                                         : MHD_SIZE_UNKNOWN;
    if (m_finished && !m_aborted && m_out.size() == size) {
        return MHD_create_response_from_buffer(m_out.size(), m_out.data(), MHD_RESPMEM_MUST_COPY);
    }
    auto reader = std::make_unique<chunk_reader>();
    reader->owner = shared_from_this();
    return MHD_create_response_from_callback(size, answer_block_size, chunk_reader::read,
                                             reader.release(), chunk_reader::release);
}

bool exchange::queue_answer()
{
    if (m_queued) {
        return true;
    }
    if (m_aborted || m_connection == nullptr) {
        return false;
    }
    MHD_Response* response = make_response();
    for (const auto& field : m_answer.headers) {
        MHD_add_response_header(response, field.name.c_str(), field.value.c_str());
    }
    if (m_server.m_draining) {
        MHD_add_response_header(response, "Connection", "close");
    }
    m_queued = true;
    const auto queued =
        MHD_queue_response(m_connection, static_cast<unsigned>(m_answer.status), response);
    MHD_destroy_response(response);
    return queued == MHD_YES;
}

std::int64_t exchange::read_answer(char* out, std::size_t size)
{
    const auto available = m_out.size() - m_out_read;
    if (m_aborted) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (available == 0) {
        if (m_finished) {
            // With a known size libmicrohttpd stops asking by itself, so asking now means that the
            // answer is shorter than announced.
            return m_answer.body_size ? MHD_CONTENT_READER_END_WITH_ERROR
                                      : MHD_CONTENT_READER_END_OF_STREAM;
        }
        suspend();
        return 0;
    }
    const bool was_full = !writable();
    const auto taken = std::min(available, size);
    std::memcpy(out, m_out.data() + m_out_read, taken);
    m_out_read += taken;
    if (m_out_read == m_out.size()) {
        m_out.clear();
        m_out_read = 0;
    }
    if (was_full && writable() && m_on_writable) {
        m_on_writable();
    }
    return static_cast<std::int64_t>(taken);
}

} // namespace damaskladder::http
