#include "node/refusal_reason.hpp"

#include <gtest/gtest.h>

namespace damaskladder::node {
namespace {

struct reason_case {
    refusal_reason reason;
    std::string_view word;
    std::uint16_t status;
};

class refusal_reasons : public testing::TestWithParam<reason_case> {};

// Guards against a table in another order than the enumeration, which would send wrong statuses.
TEST_P(refusal_reasons, have_word_and_status)
{
    const auto& expected = GetParam();
    EXPECT_EQ(to_string(expected.reason), expected.word);
    EXPECT_EQ(parse_refusal_reason(expected.word), expected.reason);
    EXPECT_EQ(status_of(expected.reason), status_code(expected.status));
}

INSTANTIATE_TEST_SUITE_P(
    table, refusal_reasons,
    testing::Values(reason_case{refusal_reason::bad_request, "bad-request", 400},
                    reason_case{refusal_reason::unknown_key, "unknown-key", 401},
                    reason_case{refusal_reason::key_withdrawn, "key-withdrawn", 403},
                    reason_case{refusal_reason::no_route, "no-route", 404},
                    reason_case{refusal_reason::other_content, "other-content", 409},
                    reason_case{refusal_reason::rate, "rate", 429},
                    reason_case{refusal_reason::answer_lost, "answer-lost", 502},
                    reason_case{refusal_reason::shed, "shed", 503},
                    reason_case{refusal_reason::backend_shed, "backend-shed", 503},
                    reason_case{refusal_reason::evacuated, "evacuated", 503},
                    reason_case{refusal_reason::caller_gone, "caller-gone", 504}));

// Guards against accepting an unknown value of a peer as a reason.
TEST(refusal_reason, unknown_words_are_not_reasons)
{
    EXPECT_EQ(parse_refusal_reason("Shed"), std::nullopt);
    EXPECT_EQ(parse_refusal_reason(""), std::nullopt);
}

} // namespace
} // namespace damaskladder::node
