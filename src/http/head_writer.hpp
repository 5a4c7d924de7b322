#pragma once

#include "http/address.hpp"
#include "http/request_head.hpp"
#include "http/response_head.hpp"

#include <string>
#include <string_view>

namespace damaskladder::http {

/// How the end of a body is told to its reader.
enum class body_framing { none, sized, chunked, until_close };

/// What an answer says of its connection besides its own fields.
enum class connection_option { none, close, keep_alive };

/// Appends request line and fields. The framing fields are written from head.body_size; Host is
/// written from the address if the head has none. Line breaks in fields become blanks, so that no
/// value can add a field.
body_framing append_request_head(std::string& out, const request_head& head, const address& to);

/// Appends status line and fields with a framing chosen by the caller.
void append_response_head(std::string& out, const response_head& head, body_framing framing,
                          connection_option option);

/// Appends one chunk of a chunked body; nothing for empty data, which would end the body.
void append_chunk(std::string& out, std::string_view data);

/// Appends the last chunk of a chunked body.
void append_last_chunk(std::string& out);

} // namespace damaskladder::http
