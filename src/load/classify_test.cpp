#include "load/classify.hpp"

#include <gtest/gtest.h>

namespace damaskladder::load {
namespace {

using end_kind = http::transfer_result::kind;

struct classify_case {
    const char* name;
    end_kind how;
    std::optional<http::response_head> head;
    result_class kind;
    std::string reason;
};

http::response_head answer(int status, http::header_list headers = {})
{
    return {status, std::move(headers), std::nullopt};
}

http::response_head refusal(int status, const char* outcome, const char* reason)
{
    return answer(status, {{"Damaskladder-Outcome", outcome}, {"damaskladder-reason", reason}});
}

class classification : public testing::TestWithParam<classify_case> {};

// Guards against refused, truncated or failed responses that are counted as goodput.
TEST_P(classification, follows_the_answer)
{
    const auto got = classify({GetParam().how, {}}, GetParam().head);
    EXPECT_EQ(to_string(got.kind), to_string(GetParam().kind));
    EXPECT_EQ(got.reason.value(), GetParam().reason);
}

INSTANTIATE_TEST_SUITE_P(
    table, classification,
    testing::Values(
        classify_case{"ok", end_kind::complete, answer(200), result_class::success, ""},
        classify_case{"no_content", end_kind::complete, answer(204), result_class::success, ""},
        classify_case{"redirect", end_kind::complete, answer(302), result_class::other_status, ""},
        classify_case{"status_of_backend_server", end_kind::complete, answer(503),
                      result_class::other_status, ""},
        classify_case{"rate", end_kind::complete, refusal(429, "not-run", "rate"),
                      result_class::refused_not_run, "rate"},
        classify_case{"deadline", end_kind::complete, refusal(504, "unknown", "deadline"),
                      result_class::refused_unknown, "deadline"},
        classify_case{"unknown_word", end_kind::complete, refusal(503, "maybe", "shed"),
                      result_class::other_status, "shed"},
        classify_case{"ok_with_outcome", end_kind::complete, refusal(200, "not-run", "shed"),
                      result_class::refused_not_run, "shed"},
        classify_case{"long_reason", end_kind::complete,
                      refusal(503, "not-run", "0123456789012345678901234567890123456789more"),
                      result_class::refused_not_run, "0123456789012345678901234567890123456789"},
        classify_case{"odd_bytes", end_kind::complete, refusal(503, "not-run", "a\x1b[1m\xff b"),
                      result_class::refused_not_run, "a?[1m??b"},
        classify_case{"short_answer", end_kind::broken, answer(200), result_class::broken, ""},
        classify_case{"no_answer", end_kind::broken, std::nullopt, result_class::broken, ""},
        classify_case{"cancelled", end_kind::cancelled, answer(200), result_class::broken, ""},
        classify_case{"complete_without_head", end_kind::complete, std::nullopt,
                      result_class::broken, ""},
        classify_case{"no_connection", end_kind::not_sent, std::nullopt,
                      result_class::not_connected, ""}),
    [](const auto& tested) { return std::string(tested.param.name); });

} // namespace
} // namespace damaskladder::load
