#pragma once

#include "http/head_writer.hpp"
#include "http/request_head.hpp"
#include "http/response_head.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace damaskladder::http {

/// Encodes one response: selects its framing and appends its parts to a buffer.
class response_output {
public:
    response_output() = default;

    /// The framing depends on the request: a response to HEAD has no body, and a caller that uses
    /// HTTP/1.0 does not understand chunks.
    response_output(const request_head& request, bool is_http_1_1, const response_head& head);

    /// Whether the end of the body is the end of the connection.
    bool ends_connection() const { return m_framing == body_framing::until_close; }

    void append_head(std::string& out, const response_head& head, bool closes) const;

    /// Appends body bytes. Returns false if there are more of them than announced: the caller would
    /// parse the excess as the next response.
    bool append_body(std::string& out, std::string_view data);

    /// Appends the end of the body. Returns false if there were fewer bytes than announced.
    bool append_end(std::string& out) const;

private:
    body_framing m_framing = body_framing::none;
    bool m_is_http_1_1 = true;
    /// Bytes still to be written of a response of known size.
    std::int64_t m_remaining = 0;
};

} // namespace damaskladder::http
