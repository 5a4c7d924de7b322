#pragma once

#include "http/address.hpp"
#include "http/request_head.hpp"
#include "http/response_head.hpp"

#include <string>
#include <string_view>

namespace damaskladder::http {

/// How the end of a body is indicated to the receiver.
enum class body_framing { none, sized, chunked, until_close };

/// Value of the Connection field of a response.
enum class connection_option { none, close, keep_alive };

/// Appends the request line and header fields. The framing fields are derived from head.body_size,
/// and Host from the address if the head has none. Line breaks and NUL bytes become blanks, which
/// prevents header injection.
body_framing append_request_head(std::string& out, const request_head& head, const address& to);

/// Appends the status line and header fields with the given framing.
void append_response_head(std::string& out, const response_head& head, body_framing framing,
                          connection_option option);

/// Appends one chunk of a chunked body. Empty data is ignored because a chunk of size 0 ends the
/// body.
void append_chunk(std::string& out, std::string_view data);

/// Appends the last chunk of a chunked body.
void append_last_chunk(std::string& out);

} // namespace damaskladder::http
