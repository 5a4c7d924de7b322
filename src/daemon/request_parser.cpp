#include "daemon/request_parser.hpp"

#include "daemon/key_size.hpp"
#include "http/header_names.hpp"
#include "settings/value_parsers.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace damaskladder::daemon {

namespace {

constexpr std::size_t max_request_id_size = 128;
constexpr std::int64_t max_timeout_ms = std::int64_t{24} * 60 * 60 * 1000;
constexpr std::string_view bearer_prefix = "Bearer ";

boost::leaf::error_id invalid(std::string_view field, std::string expected)
{
    return base::fail(base::failure_kind::invalid_argument, "read request", std::string(field),
                      std::move(expected));
}

bool is_printable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

base::result<void> check_single_fields(const http::request_head& head)
{
    using namespace http::header_names;
    constexpr std::array<std::string_view, 7> single = {
        key,        authorization, request_id, importance, http::header_names::timeout,
        idempotent, context};
    for (const auto name : single) {
        if (head.headers.count(name) > 1) {
            return invalid(name, std::string(name) + " is given more than once");
        }
    }
    return {};
}

base::result<void> parse_key(const http::request_head& head, parsed_request& into)
{
    const auto* authorization = head.headers.find(http::header_names::authorization);
    if (const auto* key = head.headers.find(http::header_names::key)) {
        into.key = *key;
    }
    else if (authorization != nullptr && authorization->starts_with(bearer_prefix)) {
        into.key = std::string_view(*authorization).substr(bearer_prefix.size());
    }
    if (into.key && (into.key->empty() || into.key->size() > max_key_size)) {
        return invalid(http::header_names::key, "expected a key of 1 to 512 bytes");
    }
    return {};
}

base::result<void> parse_request_id(const http::request_head& head, parsed_request& into)
{
    const auto* value = head.headers.find(http::header_names::request_id);
    if (value == nullptr) {
        return {};
    }
    if (value->empty() || value->size() > max_request_id_size || !is_printable(*value)) {
        return invalid(http::header_names::request_id,
                       "Idempotency-Key: expected 1 to 128 printable characters without spaces");
    }
    into.request = base::request_id(*value);
    return {};
}

base::result<void> parse_constraints(const http::request_head& head,
                                     node::request_constraints& into)
{
    if (const auto* value = head.headers.find(http::header_names::importance)) {
        into.importance = settings::parse_importance(*value);
        if (!into.importance) {
            return invalid(http::header_names::importance,
                           "Damaskladder-Importance: expected background, low, normal or critical");
        }
    }
    if (const auto* value = head.headers.find(http::header_names::timeout)) {
        std::int64_t ms = 0;
        const char* end = value->data() + value->size();
        const auto parsed = std::from_chars(value->data(), end, ms);
        if (parsed.ec != std::errc() || parsed.ptr != end || ms <= 0 || ms > max_timeout_ms) {
            return invalid(http::header_names::timeout,
                           "Damaskladder-Timeout-Ms: expected milliseconds from 1 to 86400000");
        }
        into.timeout = std::chrono::milliseconds(ms);
    }
    if (const auto* value = head.headers.find(http::header_names::idempotent)) {
        if (*value != "no") {
            return invalid(http::header_names::idempotent, "Damaskladder-Idempotent: expected no");
        }
        into.non_idempotent = true;
    }
    return {};
}

} // namespace

base::result<parsed_request> parse_request(const http::request_head& head)
{
    parsed_request parsed;
    parsed.path = head.target.substr(0, head.target.find('?'));
    if (parsed.path.empty() || parsed.path.front() != '/') {
        return invalid("request target", "expected a path that begins with /");
    }
    BOOST_LEAF_CHECK(check_single_fields(head));
    BOOST_LEAF_CHECK(parse_key(head, parsed));
    BOOST_LEAF_CHECK(parse_request_id(head, parsed));
    BOOST_LEAF_CHECK(parse_constraints(head, parsed.caller_constraints));
    if (const auto* context = head.headers.find(http::header_names::context)) {
        parsed.context = *context;
    }
    return parsed;
}

} // namespace damaskladder::daemon
