#include "daemon/key_filter.hpp"

#include <gtest/gtest.h>

#include <string>

namespace damaskladder::daemon {
namespace {

struct field_case {
    std::string name;
    std::string value;
    bool holds_key;
};

class fields_with_keys : public testing::TestWithParam<field_case> {};

// Guards against a workspace's key that reaches a backend server in a field that the caller added.
TEST_P(fields_with_keys, are_removed)
{
    http::header_list headers{{"X-Any", GetParam().value}};
    remove_fields_with_keys(headers, [](std::string_view text) { return text == "k/1=="; });
    EXPECT_EQ(headers.size() == 0, GetParam().holds_key);
}

INSTANTIATE_TEST_SUITE_P(
    table, fields_with_keys,
    testing::Values(field_case{"empty", "", false}, field_case{"other_word", "gzip", false},
                    field_case{"longer_word", "xk/1==", false}, field_case{"whole", "k/1==", true},
                    field_case{"scheme", "Token k/1==", true},
                    field_case{"two_blanks", "bearer  k/1==", true},
                    field_case{"tab", "bearer\tk/1==", true}, field_case{"list", "a,k/1==,b", true},
                    field_case{"quoted", "a, \"k/1==\"", true},
                    field_case{"parameter", "a; token=k/1==", true},
                    field_case{"quoted_parameter", "Digest token=\"k/1==\"", true},
                    // user:k/1==
                    field_case{"basic_password", "Basic dXNlcjprLzE9PQ==", true},
                    // k/1==:
                    field_case{"basic_user", "basic ay8xPT06", true},
                    // user:other
                    field_case{"basic_other", "Basic dXNlcjpvdGhlcg==", false},
                    field_case{"basic_malformed", "Basic ???", false},
                    field_case{"basic_alone", "Basic", false},
                    field_case{"long", std::string(100'000, 'x'), false},
                    field_case{"many_words", std::string(1'000, ' ') + "k/1==", true}),
    [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::daemon
