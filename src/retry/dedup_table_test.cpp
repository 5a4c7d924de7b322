#include "retry/dedup_table.hpp"

#include <gtest/gtest.h>

namespace damaskladder::retry {
namespace {

using std::chrono::seconds;

const request_identity first_request{base::workspace_id("w"), base::request_id("r1")};
const base::content_hash content("c");

std::shared_ptr<const kept_answer> answer_of(std::size_t size)
{
    return std::make_shared<kept_answer>(
        kept_answer{base::status_code(200), "", std::string(size, 'x')});
}

base::time_point at_s(std::int64_t value)
{
    return base::time_point(seconds(value));
}

struct dedup_case {
    const char* name;
    request_identity identity;
    base::content_hash content;
    bool is_answered;
    std::size_t answer_size;
    std::int64_t at_s;
    dedup_verdict verdict;
};

void PrintTo(const dedup_case& row, std::ostream* out)
{
    *out << row.name;
}

class repeated_requests : public testing::TestWithParam<dedup_case> {};

// Guards against running a repeated request again, and against sending a cached answer to a
// different request.
TEST_P(repeated_requests, get_expected_verdict)
{
    const auto& row = GetParam();
    dedup_table table{dedup_options{}};
    ASSERT_EQ(table.on_request(first_request, content, waiter_id(1), at_s(0)).verdict,
              dedup_verdict::run);
    const auto answer = answer_of(row.answer_size);
    if (row.is_answered) {
        EXPECT_TRUE(table.on_answer(first_request, answer, at_s(0)).empty());
    }
    const auto result = table.on_request(row.identity, row.content, waiter_id(2), at_s(row.at_s));
    EXPECT_EQ(result.verdict, row.verdict);
    EXPECT_EQ(result.answer, row.verdict == dedup_verdict::replay ? answer : nullptr);
}

const request_identity other_workspace{base::workspace_id("v"), base::request_id("r1")};
const request_identity other_id{base::workspace_id("w"), base::request_id("r2")};
const base::content_hash other_content("d");
constexpr std::size_t max_size = 64 * 1024;

INSTANTIATE_TEST_SUITE_P(
    table, repeated_requests,
    testing::Values(
        dedup_case{"joins", first_request, content, false, 0, 1, dedup_verdict::joined},
        dedup_case{"kept", first_request, content, true, 10, 1, dedup_verdict::replay},
        dedup_case{"largest cached", first_request, content, true, max_size, 1,
                   dedup_verdict::replay},
        dedup_case{"too large", first_request, content, true, max_size + 1, 1, dedup_verdict::run},
        dedup_case{"last moment", first_request, content, true, 10, 29, dedup_verdict::replay},
        dedup_case{"forgotten", first_request, content, true, 10, 30, dedup_verdict::run},
        dedup_case{"other content while running", first_request, other_content, false, 0, 1,
                   dedup_verdict::conflict},
        dedup_case{"other content later", first_request, other_content, true, 10, 1,
                   dedup_verdict::conflict},
        dedup_case{"other workspace", other_workspace, content, true, 10, 1, dedup_verdict::run},
        dedup_case{"other id", other_id, content, true, 10, 1, dedup_verdict::run}));

// Guards against cached answers that exceed their total size limit.
TEST(dedup_table, total_size_is_bounded_and_oldest_answers_are_evicted)
{
    dedup_table table{dedup_options{}};
    const auto identity = [](int n) {
        return request_identity{base::workspace_id("w"), base::request_id(std::to_string(n))};
    };
    for (int n = 0; n < 1'000; ++n) {
        table.on_request(identity(n), content, waiter_id(1), at_s(0));
        table.on_answer(identity(n), answer_of(max_size), at_s(0));
        ASSERT_LE(table.cached_bytes(), dedup_options{}.max_total_size);
    }
    EXPECT_EQ(table.on_request(identity(0), content, waiter_id(2), at_s(1)).verdict,
              dedup_verdict::run);
    EXPECT_EQ(table.on_request(identity(999), content, waiter_id(2), at_s(1)).verdict,
              dedup_verdict::replay);
}

// Guards against an unbounded number of waiting repeats, and against repeats that wait forever.
TEST(dedup_table, waiting_repeats_are_bounded_and_released)
{
    dedup_table table{dedup_options{}};
    for (std::uint64_t n = 0; n <= 16; ++n) {
        table.on_request(first_request, content, waiter_id(n), at_s(0));
    }
    EXPECT_EQ(table.on_request(first_request, content, waiter_id(17), at_s(0)).verdict,
              dedup_verdict::too_many);
    EXPECT_EQ(table.on_caller_gone(first_request, waiter_id(5)), std::nullopt);
    EXPECT_EQ(table.on_caller_gone(first_request, waiter_id(0)), waiter_id(1))
        << "the next waiter must take over";
    EXPECT_EQ(table.on_refused(first_request).size(), 14U);
    EXPECT_EQ(table.size(), 0U);
}

} // namespace
} // namespace damaskladder::retry
