#pragma once

#include "http/message_parser.hpp"

#include <string>
#include <string_view>

namespace damaskladder::http {

/// Test helper: renders received bytes as a list such as "200 a, 400 close". Responses that contain
/// `head_marker` in their fields are to HEAD requests. A response without an end is marked with
/// "cut", and bytes that are no response with "malformed".
inline std::string response_list(std::string_view received, std::string_view head_marker = {})
{
    message_parser parser(message_parser::direction::responses, std::size_t{16} * 1024);
    std::string list;
    std::string body;
    parser.on_body([&](std::string_view data) { body += data; });
    bool in_message = false;
    const auto finish = [&](std::string_view mark) {
        if (!body.empty()) {
            list += " " + body;
        }
        body.clear();
        list += mark;
        in_message = false;
    };
    while (!received.empty()) {
        const auto head = received.substr(0, received.find("\r\n\r\n"));
        if (!in_message) {
            parser.expect_no_body(!head_marker.empty() &&
                                  head.find(head_marker) != std::string_view::npos);
        }
        const auto [what, consumed] = parser.parse(received);
        received.remove_prefix(consumed);
        switch (what) {
        case message_parser::event::need_input:
            break;
        case message_parser::event::head:
            in_message = true;
            list += (list.empty() ? "" : ", ") + std::to_string(parser.head().status);
            if (parser.head().headers.find("Connection") != nullptr) {
                list += " " + *parser.head().headers.find("Connection");
            }
            break;
        case message_parser::event::end:
            finish("");
            break;
        default:
            return list + " malformed";
        }
    }
    if (in_message) {
        finish(parser.finish() ? "" : " cut");
    }
    return list;
}

} // namespace damaskladder::http
