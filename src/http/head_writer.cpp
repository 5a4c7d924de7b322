#include "http/head_writer.hpp"

#include "http/body_rules.hpp"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace damaskladder::http {

namespace {

void append_number(std::string& out, std::int64_t value, int base = 10)
{
    std::array<char, 24> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), value, base).ptr;
    out.append(text.data(), end);
}

void append_sanitized(std::string& out, std::string_view text)
{
    const auto start = static_cast<std::ptrdiff_t>(out.size());
    out.append(text);
    std::replace_if(
        out.begin() + start, out.end(), [](char c) { return c == '\r' || c == '\n' || c == '\0'; },
        ' ');
}

void append_field(std::string& out, std::string_view name, std::string_view value)
{
    append_sanitized(out, name);
    out += ": ";
    append_sanitized(out, value);
    out += "\r\n";
}

void append_length(std::string& out, base::byte_count size)
{
    out += "Content-Length: ";
    append_number(out, size.value());
    out += "\r\n";
}

/// Fields that control body framing and connection reuse, which the writer sets itself, and Expect,
/// because the client does not wait for an interim response.
bool is_managed_field(std::string_view name)
{
    return same_name(name, "Content-Length") || same_name(name, "Transfer-Encoding") ||
           same_name(name, "Connection") || same_name(name, "Expect");
}

void append_fields(std::string& out, const header_list& headers)
{
    for (const auto& field : headers) {
        if (!is_managed_field(field.name)) {
            append_field(out, field.name, field.value);
        }
    }
}

bool may_have_body(std::string_view method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

std::string_view reason_phrase(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

} // namespace

body_framing append_request_head(std::string& out, const request_head& head, const address& to)
{
    append_sanitized(out, head.method);
    out += ' ';
    append_sanitized(out, head.target);
    out += " HTTP/1.1\r\n";
    if (head.headers.find("Host") == nullptr) {
        append_field(out, "Host", to_string(to));
    }
    append_fields(out, head.headers);
    auto framing = body_framing::none;
    if (!head.body_size) {
        out += "Transfer-Encoding: chunked\r\n";
        framing = body_framing::chunked;
    }
    else if (head.body_size->value() > 0 || may_have_body(head.method)) {
        append_length(out, *head.body_size);
        framing = body_framing::sized;
    }
    out += "\r\n";
    return framing;
}

void append_response_head(std::string& out, const response_head& head, body_framing framing,
                          connection_option option)
{
    out += "HTTP/1.1 ";
    append_number(out, head.status);
    out += ' ';
    out += reason_phrase(head.status);
    out += "\r\n";
    append_fields(out, head.headers);
    const bool may_have_length = head.status != no_content_status;
    if (head.body_size && framing != body_framing::chunked && may_have_length) {
        append_length(out, *head.body_size);
    }
    if (framing == body_framing::chunked) {
        out += "Transfer-Encoding: chunked\r\n";
    }
    if (option == connection_option::close) {
        out += "Connection: close\r\n";
    }
    else if (option == connection_option::keep_alive) {
        out += "Connection: keep-alive\r\n";
    }
    out += "\r\n";
}

void append_chunk(std::string& out, std::string_view data)
{
    if (data.empty()) {
        return;
    }
    append_number(out, static_cast<std::int64_t>(data.size()), 16);
    out += "\r\n";
    out += data;
    out += "\r\n";
}

void append_last_chunk(std::string& out)
{
    out += "0\r\n\r\n";
}

} // namespace damaskladder::http
