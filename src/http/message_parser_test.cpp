#include "http/message_parser.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace damaskladder::http {
namespace {

using direction = message_parser::direction;
using event = message_parser::event;

struct stream_case {
    std::string name;
    direction reads = direction::requests;
    std::string bytes;
    /// Bodies of the complete messages.
    std::vector<std::string> bodies;
    /// The stream ends as malformed.
    bool malformed = false;
    bool ends_with_connection = false;
};

struct parsed_stream {
    std::vector<std::string> bodies;
    bool malformed = false;
};

/// Parses the bytes in pieces of the given size.
parsed_stream parse_all(const stream_case& row, std::size_t piece)
{
    message_parser parser(row.reads, 1000);
    parsed_stream seen;
    std::string body;
    parser.on_body([&](std::string_view data) { body += data; });
    std::string saved;
    for (std::size_t at = 0; at < row.bytes.size() && !seen.malformed; at += piece) {
        saved += row.bytes.substr(at, piece);
        for (bool more = true; more && !saved.empty() && !seen.malformed;) {
            const auto [what, consumed] = parser.parse(saved);
            saved.erase(0, consumed);
            more = what != event::need_input;
            if (what == event::end) {
                seen.bodies.push_back(body);
                body.clear();
            }
            seen.malformed = what == event::malformed || what == event::head_too_long;
        }
    }
    if (row.ends_with_connection && parser.finish()) {
        seen.bodies.push_back(body);
    }
    return seen;
}

class byte_streams : public testing::TestWithParam<std::tuple<stream_case, std::size_t>> {};

// Guards against request smuggling, where two parsers delimit a request differently and a second
// request is hidden in its body, and against results that depend on how the input is split.
TEST_P(byte_streams, are_split_in_one_way)
{
    const auto& [row, piece] = GetParam();
    const auto seen = parse_all(row, piece);
    EXPECT_EQ(seen.bodies, row.bodies);
    EXPECT_EQ(seen.malformed, row.malformed);
}

const std::string start = "POST /p HTTP/1.1\r\nHost: a\r\n";

stream_case good(std::string name, std::string bytes, std::vector<std::string> bodies)
{
    return {std::move(name), direction::requests, std::move(bytes), std::move(bodies)};
}

stream_case bad(std::string name, std::string bytes)
{
    return {std::move(name), direction::requests, std::move(bytes), {}, true};
}

stream_case response(std::string name, std::string bytes, std::vector<std::string> bodies,
                     bool malformed = false)
{
    return {std::move(name), direction::responses, std::move(bytes), std::move(bodies), malformed};
}

INSTANTIATE_TEST_SUITE_P(
    table, byte_streams,
    testing::Combine(
        testing::Values(
            good("no_body", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", {""}),
            good("sized_body", start + "Content-Length: 3\r\n\r\nabc", {"abc"}),
            good("chunked_body",
                 start + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n",
                 {"abcde"}),
            good("two_in_a_row",
                 start + "Content-Length: 1\r\n\r\na" + start + "Content-Length: 1\r\n\r\nb",
                 {"a", "b"}),
            good("empty_lines_before", "\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", {""}),
            good("the_same_length_in_a_field_value", start + "X: a: b c\r\n\r\n", {""}),
            bad("length_and_coding",
                start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
            bad("coding_and_length",
                start + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n"),
            bad("two_lengths", start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"),
            bad("length_with_sign", start + "Content-Length: +3\r\n\r\nabc"),
            bad("list_of_lengths", start + "Content-Length: 3, 3\r\n\r\nabc"),
            bad("unknown_coding", start + "Transfer-Encoding: gzip\r\n\r\n"),
            bad("chunked_not_last", start + "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n"),
            bad("coding_in_old_version",
                "POST /p HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
            bad("blank_before_colon", start + "Content-Length : 3\r\n\r\nabc"),
            bad("blank_in_name", start + "X Y: 3\r\n\r\n"),
            bad("folded_line", start + "X: a\r\n Content-Length: 3\r\n\r\n"),
            bad("folded_coding", start + "Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n"),
            bad("bare_line_feed", start + "X: a\nContent-Length: 3\r\n\r\nabc"),
            bad("bare_line_feeds", "GET / HTTP/1.1\nHost: a\n\n"),
            bad("bare_carriage_return", start + "X: a\rContent-Length: 3\r\n\r\nabc"),
            bad("bad_chunk_size",
                start + "Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n"),
            bad("huge_chunk_size",
                start + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nabc"),
            bad("long_fields", start + "X: " + std::string(1200, 'x') + "\r\n\r\n"),
            response("sized_answer", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", {"ok"}),
            response("no_content", "HTTP/1.1 204 No Content\r\n\r\n", {""}),
            response("extra_answer",
                     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n"
                     "Content-Length: 2\r\n\r\nno",
                     {"ok", "no"}),
            response("garbage", "\x01\x02 nonsense", {}, true),
            response("status_000", "HTTP/1.1 000 Zero\r\nContent-Length: 2\r\n\r\nok", {}, true),
            response("status_099", "HTTP/1.1 099 Low\r\nContent-Length: 2\r\n\r\nok", {}, true),
            response("status_599", "HTTP/1.1 599 Last\r\nContent-Length: 2\r\n\r\nok", {"ok"}),
            response("status_600", "HTTP/1.1 600 High\r\nContent-Length: 2\r\n\r\nok", {}, true),
            response("status_999", "HTTP/1.1 999 High\r\nContent-Length: 2\r\n\r\nok", {}, true),
            stream_case{"until_the_end",
                        direction::responses,
                        "HTTP/1.1 200 OK\r\n\r\nrest",
                        {"rest"},
                        false,
                        true},
            stream_case{"cut_within_its_length",
                        direction::responses,
                        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nrest",
                        {},
                        false,
                        true}),
        testing::Values(1, 7, 10000)),
    [](const auto& tested) {
        return std::get<0>(tested.param).name + "_in_pieces_of_" +
               std::to_string(std::get<1>(tested.param));
    });

} // namespace
} // namespace damaskladder::http
