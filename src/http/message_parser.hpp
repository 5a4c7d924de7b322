#pragma once

#include "http/parsed_head.hpp"

#include <http_parser.h>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace damaskladder::http {

/// Splits a stream of bytes into HTTP/1.1 messages, with http_parser.
///
///     message_parser parser(message_parser::direction::requests, 16 * 1024);
///     while (!data.empty()) {
///         const auto [what, consumed] = parser.parse(data);
///         data.remove_prefix(consumed);
///         ...
///     }
///
/// Stricter than http_parser where a message could be read in two ways: field names with blanks,
/// folded lines, bare line feeds, and transfer codings in HTTP/1.0 are malformed, as are two
/// different lengths, a length beside a transfer coding, and unknown codings.
class message_parser {
public:
    enum class direction { requests, responses };

    enum class event {
        /// All bytes were taken; the message goes on.
        need_input,
        /// The head is complete, see head(). Bytes that were not consumed come again.
        head,
        /// The message is complete. What follows belongs to the next one.
        end,
        /// Not a message. Nothing more can be parsed.
        malformed,
        target_too_long,
        head_too_long,
    };

    struct result {
        event what;
        std::size_t consumed;
    };

    /// `max_head` bounds the target and, separately, the fields of one head, in bytes.
    message_parser(direction reads, std::size_t max_head);
    ~message_parser() = default;
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;

    /// Parses up to the next event. Body bytes go to the hook of on_body().
    result parse(std::string_view data);

    /// The stream has ended; whether that completes the message under way.
    bool finish();

    /// The head of the message under way. The caller may move out of it.
    parsed_head& head() { return m_head; }

    /// The answers to come answer HEAD requests and have no bodies, or may have.
    void expect_no_body(bool none) { m_no_body = none; }

    void on_body(std::function<void(std::string_view)> hook) { m_on_body = std::move(hook); }

private:
    friend struct parser_callbacks;

    void begin_message();
    void end_field();
    /// Whether lines of the head are delimited in the one permitted way.
    bool lines_are_strict(std::string_view raw);

    http_parser m_parser{};
    std::size_t m_max_head;
    parsed_head m_head;
    std::string m_name;
    std::string m_value;
    bool m_in_value = false;
    std::size_t m_head_size = 0;
    bool m_in_head = true;
    bool m_no_body = false;
    event m_event = event::need_input;
    std::function<void(std::string_view)> m_on_body;

    /// Where in a head lines_are_strict() is.
    enum class line_state { before_start_line, start_line, field_name, field_value };
    line_state m_line_state = line_state::before_start_line;
    char m_last_byte = '\0';
};

} // namespace damaskladder::http
