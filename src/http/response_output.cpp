#include "http/response_output.hpp"

#include "http/body_rules.hpp"

namespace damaskladder::http {

response_output::response_output(const request_head& request, bool is_http_1_1,
                                 const response_head& head)
    : m_is_http_1_1(is_http_1_1)
{
    if (request.method == "HEAD" || !has_body(head.status)) {
        m_framing = body_framing::none;
    }
    else if (head.body_size) {
        m_framing = body_framing::sized;
        m_remaining = head.body_size->value();
    }
    else {
        m_framing = is_http_1_1 ? body_framing::chunked : body_framing::until_close;
    }
}

void response_output::append_head(std::string& out, const response_head& head, bool closes) const
{
    auto option = connection_option::none;
    if (closes) {
        option = connection_option::close;
    }
    else if (!m_is_http_1_1) {
        option = connection_option::keep_alive;
    }
    append_response_head(out, head, m_framing, option);
}

bool response_output::append_body(std::string& out, std::string_view data)
{
    switch (m_framing) {
    case body_framing::none:
        break;
    case body_framing::sized:
        m_remaining -= static_cast<std::int64_t>(data.size());
        if (m_remaining < 0) {
            return false;
        }
        out += data;
        break;
    case body_framing::chunked:
        append_chunk(out, data);
        break;
    case body_framing::until_close:
        out += data;
        break;
    }
    return true;
}

bool response_output::append_end(std::string& out) const
{
    if (m_framing == body_framing::sized && m_remaining != 0) {
        return false;
    }
    if (m_framing == body_framing::chunked) {
        append_last_chunk(out);
    }
    return true;
}

} // namespace damaskladder::http
