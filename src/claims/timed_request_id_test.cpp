#include "claims/timed_request_id.hpp"

#include <gtest/gtest.h>

#include <random>

namespace damaskladder::claims {
namespace {

using std::chrono::seconds;

/// Seconds of the id, or -1 if parsing fails.
std::int64_t parsed_seconds(const std::string& text)
{
    return base::handle_failure(
        [&]() -> base::result<std::int64_t> {
            BOOST_LEAF_AUTO(id, timed_request_id::parse(base::request_id(text)));
            return std::chrono::duration_cast<seconds>(id.time.time_since_epoch()).count();
        },
        [](const base::failure&) -> std::int64_t { return -1; });
}

struct id_case {
    std::string name;
    std::string text;
    std::int64_t seconds;
};

class request_ids : public testing::TestWithParam<id_case> {};

TEST_P(request_ids, parse_or_fail)
{
    EXPECT_EQ(parsed_seconds(GetParam().text), GetParam().seconds);
}

INSTANTIATE_TEST_SUITE_P(
    table, request_ids,
    testing::Values(id_case{"usual", "1700000000-order-17", 1'700'000'000},
                    id_case{"eleven_digits", "99999999999-x", 99'999'999'999},
                    id_case{"longest", "1-" + std::string(126, 'x'), 1},
                    id_case{"too_long", "1-" + std::string(127, 'x'), -1}, id_case{"empty", "", -1},
                    id_case{"no_dash", "1700000000", -1}, id_case{"no_opaque", "1700000000-", -1},
                    id_case{"no_time", "-x", -1}, id_case{"twelve_digits", "100000000000-x", -1},
                    id_case{"leading_zero", "01700000000-x", -1}, id_case{"zero", "0-x", -1},
                    id_case{"sign", "+1700000000-x", -1}, id_case{"negative", "--1-x", -1},
                    id_case{"space_before", " 1700000000-x", -1}, id_case{"letters", "17a-x", -1},
                    id_case{"hexadecimal", "0x17-x", -1}, id_case{"space", "1700000000-a b", -1},
                    id_case{"control", std::string("1700000000-a\0b", 14), -1},
                    id_case{"line_end", "1700000000-a\r\n", -1},
                    id_case{"not_ascii", "1700000000-\xc3\xa4", -1}),
    [](const auto& param) { return param.param.name; });

// Guards against a crash on arbitrary bytes and against accepting an id that does not round-trip:
// 20,000 seeded texts.
TEST(request_id, random_bytes_fail_or_read_back)
{
    std::mt19937_64 random(1);
    const std::string likely = "0123456789-";
    for (int i = 0; i < 20'000; ++i) {
        std::string text;
        for (auto length = random() % 20; length > 0; --length) {
            text += random() % 3 == 0 ? static_cast<char>(random()) : likely[random() % 11];
        }
        const auto value = parsed_seconds(text);
        if (value >= 0) {
            ASSERT_TRUE(text.starts_with(std::to_string(value) + "-"));
        }
    }
}

struct age_case {
    std::string name;
    std::int64_t time;
    request_id_age expected;
};

class request_id_ages : public testing::TestWithParam<age_case> {};

// Guards against accepting an id that the log may have dropped or would keep too long. The clock
// shows 10,000 s, the retention is 600 s, and clocks may differ by at most 60 s.
TEST_P(request_id_ages, compare_with_the_clock)
{
    const timed_request_id id{base::wall_time(seconds(GetParam().time)), "x"};
    EXPECT_EQ(id.age(base::wall_time(seconds(10'000)), seconds(600), seconds(60)),
              GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(table, request_id_ages,
                         testing::Values(age_case{"now", 10'000, request_id_age::usable},
                                         age_case{"oldest", 9'401, request_id_age::usable},
                                         age_case{"too_old", 9'400, request_id_age::too_old},
                                         age_case{"latest", 10'060, request_id_age::usable},
                                         age_case{"in_future", 10'061, request_id_age::in_future}),
                         [](const auto& param) { return param.param.name; });

} // namespace
} // namespace damaskladder::claims
