#include "retry/repeat_table.hpp"

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

struct repeat_case {
    const char* name;
    request_identity identity;
    base::content_hash content;
    bool answered;
    std::size_t answer_size;
    std::int64_t at_s;
    repeat_verdict verdict;
};

void PrintTo(const repeat_case& row, std::ostream* out)
{
    *out << row.name;
}

class repeats : public testing::TestWithParam<repeat_case> {};

// Guards against running a caller's repeat, and against giving an answer to another request.
TEST_P(repeats, get_verdict)
{
    const auto& row = GetParam();
    repeat_table table{repeat_options{}};
    ASSERT_EQ(table.arrived(first_request, content, waiter_id(1), at_s(0)).verdict,
              repeat_verdict::run);
    const auto answer = answer_of(row.answer_size);
    if (row.answered) {
        EXPECT_TRUE(table.answered(first_request, answer, at_s(0)).empty());
    }
    const auto result = table.arrived(row.identity, row.content, waiter_id(2), at_s(row.at_s));
    EXPECT_EQ(result.verdict, row.verdict);
    EXPECT_EQ(result.answer, row.verdict == repeat_verdict::replay ? answer : nullptr);
}

const request_identity other_workspace{base::workspace_id("v"), base::request_id("r1")};
const request_identity other_id{base::workspace_id("w"), base::request_id("r2")};
const base::content_hash other_content("d");
constexpr std::size_t bound = 64 * 1024;

INSTANTIATE_TEST_SUITE_P(
    table, repeats,
    testing::Values(
        repeat_case{"joins", first_request, content, false, 0, 1, repeat_verdict::joined},
        repeat_case{"kept", first_request, content, true, 10, 1, repeat_verdict::replay},
        repeat_case{"largest kept", first_request, content, true, bound, 1, repeat_verdict::replay},
        repeat_case{"too large", first_request, content, true, bound + 1, 1, repeat_verdict::run},
        repeat_case{"last moment", first_request, content, true, 10, 29, repeat_verdict::replay},
        repeat_case{"forgotten", first_request, content, true, 10, 30, repeat_verdict::run},
        repeat_case{"other content while running", first_request, other_content, false, 0, 1,
                    repeat_verdict::conflict},
        repeat_case{"other content later", first_request, other_content, true, 10, 1,
                    repeat_verdict::conflict},
        repeat_case{"other workspace", other_workspace, content, true, 10, 1, repeat_verdict::run},
        repeat_case{"other id", other_id, content, true, 10, 1, repeat_verdict::run}));

// Guards against kept answers that outgrow their bound.
TEST(repeat_table, total_is_bounded_and_oldest_go_first)
{
    repeat_table table{repeat_options{}};
    const auto identity = [](int n) {
        return request_identity{base::workspace_id("w"), base::request_id(std::to_string(n))};
    };
    for (int n = 0; n < 1'000; ++n) {
        table.arrived(identity(n), content, waiter_id(1), at_s(0));
        table.answered(identity(n), answer_of(bound), at_s(0));
        ASSERT_LE(table.kept(), repeat_options{}.most_kept);
    }
    EXPECT_EQ(table.arrived(identity(0), content, waiter_id(2), at_s(1)).verdict,
              repeat_verdict::run);
    EXPECT_EQ(table.arrived(identity(999), content, waiter_id(2), at_s(1)).verdict,
              repeat_verdict::replay);
}

// Guards against repeats that wait for ever, or without bound.
TEST(repeat_table, joined_repeats_are_bounded_and_released)
{
    repeat_table table{repeat_options{}};
    for (std::uint64_t n = 0; n <= 16; ++n) {
        table.arrived(first_request, content, waiter_id(n), at_s(0));
    }
    EXPECT_EQ(table.arrived(first_request, content, waiter_id(17), at_s(0)).verdict,
              repeat_verdict::too_many);
    EXPECT_EQ(table.left(first_request, waiter_id(5)), std::nullopt);
    EXPECT_EQ(table.left(first_request, waiter_id(0)), waiter_id(1)) << "the next one takes over";
    EXPECT_EQ(table.dropped(first_request).size(), 14U);
    EXPECT_EQ(table.size(), 0U);
}

} // namespace
} // namespace damaskladder::retry
