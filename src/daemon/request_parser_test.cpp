#include "daemon/request_parser.hpp"

#include <gtest/gtest.h>

#include <random>

namespace damaskladder::daemon {
namespace {

struct header_case {
    std::string name;
    http::header_list headers;
    /// Field named by the failure; empty if the request is accepted.
    std::string refused_field;
};

class request_headers : public testing::TestWithParam<header_case> {};

// Guards against malformed fields that are treated as absent.
TEST_P(request_headers, are_checked)
{
    http::request_head head;
    head.target = "/files/1?x=y";
    head.headers = GetParam().headers;
    const auto refused = base::handle_failure(
        [&]() -> base::result<std::string> {
            BOOST_LEAF_AUTO(parsed, parse_request(head));
            EXPECT_EQ(parsed.path, "/files/1");
            return std::string();
        },
        [](const base::failure& error) {
            EXPECT_EQ(error.text.find("secret"), std::string::npos)
                << "the error text contains the key";
            return error.peer;
        });
    EXPECT_EQ(refused, GetParam().refused_field);
}

INSTANTIATE_TEST_SUITE_P(
    table, request_headers,
    testing::Values(
        header_case{"none", {}, ""},
        header_case{"all_good",
                    {{"damaskladder-key", "secret"},
                     {"Idempotency-Key", "1796380000-a"},
                     {"Damaskladder-Importance", "low"},
                     {"Damaskladder-Timeout-Ms", "250"},
                     {"Damaskladder-Idempotent", "no"}},
                    ""},
        header_case{"empty_key", {{"Damaskladder-Key", ""}}, "Damaskladder-Key"},
        header_case{"long_key",
                    {{"Damaskladder-Key", "secret" + std::string(600, 'k')}},
                    "Damaskladder-Key"},
        header_case{"two_keys",
                    {{"Damaskladder-Key", "secret"}, {"damaskladder-KEY", "secret2"}},
                    "Damaskladder-Key"},
        header_case{"space_in_id", {{"Idempotency-Key", "a b"}}, "Idempotency-Key"},
        header_case{"long_id", {{"Idempotency-Key", std::string(129, 'a')}}, "Idempotency-Key"},
        header_case{"unknown_importance",
                    {{"Damaskladder-Importance", "urgent"}},
                    "Damaskladder-Importance"},
        header_case{"zero_timeout", {{"Damaskladder-Timeout-Ms", "0"}}, "Damaskladder-Timeout-Ms"},
        header_case{"huge_timeout",
                    {{"Damaskladder-Timeout-Ms", "99999999999999999999"}},
                    "Damaskladder-Timeout-Ms"},
        header_case{
            "unit_in_timeout", {{"Damaskladder-Timeout-Ms", "5s"}}, "Damaskladder-Timeout-Ms"},
        header_case{"loosened", {{"Damaskladder-Idempotent", "yes"}}, "Damaskladder-Idempotent"}),
    [](const auto& tested) { return tested.param.name; });

TEST(request_parser, random_bytes_do_not_crash)
{
    constexpr int attempts = 5000;
    std::mt19937 random(3);
    const auto text = [&] {
        std::string bytes(random() % 40, '\0');
        for (auto& byte : bytes) {
            byte = static_cast<char>(random());
        }
        return bytes;
    };
    int accepted = 0;
    for (int i = 0; i < attempts; ++i) {
        http::request_head head;
        head.target = "/" + text();
        for (const auto* name : {"Damaskladder-Key", "Idempotency-Key", "Damaskladder-Importance",
                                 "Damaskladder-Timeout-Ms", "Authorization"}) {
            if (random() % 2 == 0) {
                head.headers.add(name, text());
            }
        }
        accepted += base::handle_failure(
            [&]() -> base::result<int> {
                BOOST_LEAF_CHECK(parse_request(head));
                return 1;
            },
            [](const base::failure&) { return 0; });
    }
    EXPECT_LT(accepted, attempts);
}

} // namespace
} // namespace damaskladder::daemon
