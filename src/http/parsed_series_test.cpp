#include "http/message_parser.hpp"

#include <gtest/gtest.h>

#include <array>
#include <random>
#include <string>
#include <string_view>

namespace damaskladder::http {
namespace {

constexpr std::size_t max_head = 500;

/// Parses bytes in pieces and renders what was found. Without `sizes`, in one piece.
std::string parse_pieces(std::string_view bytes, std::mt19937* sizes)
{
    message_parser parser(message_parser::direction::requests, max_head);
    std::string found;
    parser.on_body([&](std::string_view data) { found += data; });
    while (!bytes.empty()) {
        const auto size = sizes == nullptr ? bytes.size() : 1 + (*sizes)() % 40;
        auto piece = bytes.substr(0, size);
        bytes.remove_prefix(piece.size());
        while (!piece.empty()) {
            const auto [what, consumed] = parser.parse(piece);
            EXPECT_LE(consumed, piece.size());
            piece.remove_prefix(consumed);
            switch (what) {
            case message_parser::event::need_input:
                EXPECT_TRUE(piece.empty());
                break;
            case message_parser::event::head:
                found += "[" + parser.head().method + " " + parser.head().target + " ";
                break;
            case message_parser::event::end:
                found += "]";
                break;
            default:
                return found + "!";
            }
        }
    }
    return found;
}

std::string random_series(std::mt19937& random)
{
    static const std::array<std::string, 6> requests{
        "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
        "HEAD /b HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
        "POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nbytes",
        "POST /d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        "PUT /e HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 0\r\n\r\n",
        "\r\nGET /" + std::string(200, 'f') + " HTTP/1.1\r\nX: " + std::string(200, 'x') +
            "\r\n\r\n"};
    std::string series;
    for (auto left = 1 + random() % 8; left > 0; --left) {
        series += requests.at(random() % requests.size());
    }
    // Half of the series have a few changed, removed or repeated bytes.
    for (auto changes = random() % 2 * (random() % 4); changes > 0; --changes) {
        const auto at = random() % series.size();
        switch (random() % 3) {
        case 0:
            series[at] = static_cast<char>(random() % 256);
            break;
        case 1:
            series.erase(at, 1 + random() % 3);
            break;
        default:
            series.insert(at, series.substr(random() % series.size(), random() % 30));
        }
        if (series.empty()) {
            break;
        }
    }
    return series;
}

// Guards against requests that are found or not depending on how the bytes of a series arrive: a
// hop that divides them otherwise would see other requests. Also against a crash on any input.
TEST(parsed_series, do_not_depend_on_the_pieces)
{
    constexpr int count = 5000;
    constexpr unsigned seed = 20261206;
    std::mt19937 random(seed);
    for (int n = 0; n < count; ++n) {
        const auto series = random_series(random);
        ASSERT_EQ(parse_pieces(series, &random), parse_pieces(series, nullptr))
            << "series " << n << ": " << testing::PrintToString(series);
    }
}

} // namespace
} // namespace damaskladder::http
