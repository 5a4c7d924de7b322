#include "http/message_parser.hpp"

#include "http/body_rules.hpp"

#include <utility>

namespace damaskladder::http {

namespace {

constexpr std::uint64_t no_length = ~std::uint64_t{0};
// http_parser accepts any three digits.
constexpr int first_status = 100;
constexpr int last_status = 599;

void trim_end(std::string& value)
{
    const auto last = value.find_last_not_of(" \t");
    value.resize(last == std::string::npos ? 0 : last + 1);
}

} // namespace

/// C callbacks for http_parser. Its `data` member points to the message_parser.
struct parser_callbacks {
    static message_parser& self_of(http_parser* parser)
    {
        return *static_cast<message_parser*>(parser->data);
    }

    static int message_begins(http_parser* parser)
    {
        self_of(parser).begin_message();
        return 0;
    }

    static int target(http_parser* parser, const char* data, std::size_t size)
    {
        auto& self = self_of(parser);
        self.m_head.target.append(data, size);
        if (self.m_head.target.size() <= self.m_max_head) {
            return 0;
        }
        self.m_event = message_parser::event::target_too_long;
        return 1;
    }

    static int field_size(message_parser& self, std::size_t size)
    {
        self.m_head_size += size;
        if (self.m_head_size <= self.m_max_head) {
            return 0;
        }
        self.m_event = message_parser::event::head_too_long;
        return 1;
    }

    static int field_name(http_parser* parser, const char* data, std::size_t size)
    {
        auto& self = self_of(parser);
        if (self.m_in_value) {
            self.end_field();
        }
        self.m_name.append(data, size);
        return field_size(self, size);
    }

    static int field_value(http_parser* parser, const char* data, std::size_t size)
    {
        auto& self = self_of(parser);
        self.m_in_value = true;
        self.m_value.append(data, size);
        return field_size(self, size);
    }

    static int head_complete(http_parser* parser)
    {
        auto& self = self_of(parser);
        if (self.m_in_value) {
            self.end_field();
        }
        auto& head = self.m_head;
        head.is_http_1_1 =
            parser->http_major > 1 || (parser->http_major == 1 && parser->http_minor >= 1);
        if (parser->http_major != 1 || (!head.is_http_1_1 && parser->uses_transfer_encoding != 0)) {
            return -1;
        }
        if (parser->type == HTTP_REQUEST) {
            head.method = http_method_str(static_cast<http_method>(parser->method));
        }
        else {
            head.status = parser->status_code;
            if (head.status < first_status || head.status > last_status) {
                return -1;
            }
        }
        head.keep_alive = http_should_keep_alive(parser) != 0;
        set_body_size(*parser, self);
        self.m_in_head = false;
        self.m_event = message_parser::event::head;
        http_parser_pause(parser, 1);
        return self.m_no_body ? 1 : 0;
    }

    static void set_body_size(const http_parser& parser, message_parser& self)
    {
        const bool chunked = (parser.flags & F_CHUNKED) != 0;
        const bool sized = !chunked && parser.content_length != no_length;
        if (sized) {
            self.m_head.body_size =
                base::byte_count(static_cast<std::int64_t>(parser.content_length));
        }
        else if (chunked || (parser.type == HTTP_RESPONSE && may_have_body(self))) {
            self.m_head.body_size.reset();
        }
        else {
            self.m_head.body_size = base::byte_count(0);
        }
    }

    /// Without a length, the body of such a response extends to the end of the connection.
    static bool may_have_body(const message_parser& self)
    {
        return !self.m_no_body && has_body(self.m_head.status);
    }

    static int body(http_parser* parser, const char* data, std::size_t size)
    {
        const auto& hook = self_of(parser).m_on_body;
        if (hook) {
            hook(std::string_view(data, size));
        }
        return 0;
    }

    static int message_complete(http_parser* parser)
    {
        auto& self = self_of(parser);
        self.m_event = message_parser::event::end;
        self.m_in_head = true;
        http_parser_pause(parser, 1);
        return 0;
    }

    static const http_parser_settings& settings()
    {
        static const http_parser_settings table = [] {
            http_parser_settings callbacks;
            http_parser_settings_init(&callbacks);
            callbacks.on_message_begin = message_begins;
            callbacks.on_url = target;
            callbacks.on_header_field = field_name;
            callbacks.on_header_value = field_value;
            callbacks.on_headers_complete = head_complete;
            callbacks.on_body = body;
            callbacks.on_message_complete = message_complete;
            return callbacks;
        }();
        return table;
    }
};

message_parser::message_parser(direction reads, std::size_t max_head) : m_max_head(max_head)
{
    http_parser_init(&m_parser, reads == direction::requests ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
}

void message_parser::begin_message()
{
    m_head = parsed_head{};
    m_name.clear();
    m_value.clear();
    m_in_value = false;
    m_head_size = 0;
}

void message_parser::end_field()
{
    trim_end(m_value);
    m_head.headers.add(std::exchange(m_name, {}), std::exchange(m_value, {}));
    m_in_value = false;
}

message_parser::result message_parser::parse(std::string_view data)
{
    m_event = event::need_input;
    if (HTTP_PARSER_ERRNO(&m_parser) == HPE_PAUSED) {
        http_parser_pause(&m_parser, 0);
    }
    const bool in_head = m_in_head;
    const auto consumed =
        http_parser_execute(&m_parser, &parser_callbacks::settings(), data.data(), data.size());
    const auto error = HTTP_PARSER_ERRNO(&m_parser);
    const bool limit_passed = m_event == event::target_too_long || m_event == event::head_too_long;
    if (limit_passed) {
        return {m_event, consumed};
    }
    if ((error != HPE_OK && error != HPE_PAUSED) ||
        (in_head && !lines_are_strict(data.substr(0, consumed)))) {
        m_event = event::malformed;
    }
    if (m_event == event::head) {
        m_line_state = line_state::before_start_line;
        m_last_byte = '\0';
    }
    return {m_event, consumed};
}

bool message_parser::finish()
{
    m_event = event::need_input;
    if (HTTP_PARSER_ERRNO(&m_parser) == HPE_PAUSED) {
        http_parser_pause(&m_parser, 0);
    }
    http_parser_execute(&m_parser, &parser_callbacks::settings(), nullptr, 0);
    return m_event == event::end;
}

bool message_parser::lines_are_strict(std::string_view raw)
{
    for (const char c : raw) {
        if ((c == '\n') != (m_last_byte == '\r')) {
            return false;
        }
        m_last_byte = c;
        switch (m_line_state) {
        case line_state::before_start_line:
            if (c != '\r' && c != '\n') {
                m_line_state = line_state::start_line;
            }
            break;
        case line_state::start_line:
        case line_state::field_value:
            if (c == '\n') {
                m_line_state = line_state::field_name;
            }
            break;
        case line_state::field_name:
            if (c == ' ' || c == '\t') {
                return false;
            }
            if (c == ':') {
                m_line_state = line_state::field_value;
            }
            break;
        }
    }
    return true;
}

} // namespace damaskladder::http
