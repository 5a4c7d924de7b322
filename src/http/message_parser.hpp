#pragma once

#include "http/parsed_head.hpp"

#include <http_parser.h>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace damaskladder::http {

/// Incremental HTTP/1.1 message parser, based on http_parser.
///
///     message_parser parser(message_parser::direction::requests, 16 * 1024);
///     while (!data.empty()) {
///         const auto [what, consumed] = parser.parse(data);
///         data.remove_prefix(consumed);
///         ...
///     }
///
/// Stricter than http_parser where a message is ambiguous: field names with blanks, folded lines,
/// bare line feeds and transfer codings in HTTP/1.0 are malformed, as are two different lengths, a
/// length together with a transfer coding, and unknown codings.
class message_parser {
public:
    enum class direction { requests, responses };

    enum class event {
        /// All bytes were consumed; the message is incomplete.
        need_input,
        /// The head is complete, see head(). Pass the unconsumed bytes to the next call.
        head,
        /// The message is complete. The unconsumed bytes belong to the next message.
        end,
        /// Not a valid message. The parser cannot be used any further.
        malformed,
        target_too_long,
        head_too_long,
    };

    struct result {
        event what;
        std::size_t consumed;
    };

    /// `max_head` is the maximum size in bytes of the target and, separately, of the fields of one
    /// head.
    message_parser(direction reads, std::size_t max_head);
    ~message_parser() = default;
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;

    /// Parses up to the next event. Body bytes are passed to the hook set with on_body().
    result parse(std::string_view data);

    /// Signals the end of the stream. Returns whether that completes the current message.
    bool finish();

    /// The head of the current message. The caller may move from it.
    parsed_head& head() { return m_head; }

    /// Sets whether the following responses are to HEAD requests and therefore have no body.
    void expect_no_body(bool none) { m_no_body = none; }

    void on_body(std::function<void(std::string_view)> hook) { m_on_body = std::move(hook); }

private:
    friend struct parser_callbacks;

    void begin_message();
    void end_field();
    /// Whether all lines of the head end with CR LF and are neither folded nor ambiguous.
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

    /// Position of lines_are_strict() within the head.
    enum class line_state { before_start_line, start_line, field_name, field_value };
    line_state m_line_state = line_state::before_start_line;
    char m_last_byte = '\0';
};

} // namespace damaskladder::http
