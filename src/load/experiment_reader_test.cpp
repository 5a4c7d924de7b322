#include "load/experiment_reader.hpp"

#include <gtest/gtest.h>

#include <random>

namespace damaskladder::load {
namespace {

using settings::problem_kind;

const std::string valid = "[experiment]\n"             // 1
                          "duration = 10s\n"           // 2
                          "targets = 127.0.0.1:80\n"   // 3
                          "[streams/a]\n"              // 4
                          "path = /files/1?x=2\n"      // 5
                          "workspace = w1\n"           // 6
                          "rate = 100.5/s\n"           // 7
                          "[surges/s]\n"               // 8
                          "stream = a\n"               // 9
                          "start = 2s\n"               // 10
                          "length = 3s\n"              // 11
                          "factor = 2.5\n"             // 12
                          "[commands/c]\n"             // 13
                          "at = 2s\n"                  // 14
                          "target = 127.0.0.1:81\n"    // 15
                          "path = /-/slow?factor=10\n" // 16
                          "[workspaces/w1]\n"          // 17
                          "weight = 3\n";              // 18

std::string replaced(const std::string& from, const std::string& to)
{
    auto text = valid;
    text.replace(text.find(from), from.size(), to);
    return text;
}

// Guards against settings that are accepted but ignored.
TEST(experiment_reader, reads_every_section)
{
    const auto document =
        read_experiment(replaced("rate = 100.5/s\n", "rate = 100.5/s\nretries = 3\n"
                                                     "non_idempotent = yes\nwithin_rate = yes\n"
                                                     "importance = low\nmethod = POST\n"
                                                     "key_file = k1\n"),
                        "x.ini");
    ASSERT_TRUE(document.problems.empty()) << to_string(document.problems.front());
    const auto& plan = document.plan;
    EXPECT_EQ(plan.duration, std::chrono::seconds(10));
    EXPECT_EQ(plan.targets, (std::vector<http::address>{{"127.0.0.1", 80}}));
    ASSERT_EQ(plan.streams.size(), 1U);
    const auto& stream = plan.streams.front();
    EXPECT_EQ(stream.path, "/files/1?x=2");
    EXPECT_EQ(stream.rate, request_rate(100.5));
    EXPECT_EQ(stream.retries, 3U);
    EXPECT_TRUE(stream.non_idempotent && stream.within_rate);
    EXPECT_EQ(stream.importance + stream.method + stream.key_file, "lowPOSTk1");
    ASSERT_EQ(plan.surges.size(), 1U);
    EXPECT_EQ(plan.surges.front().factor, rate_factor(2.5));
    ASSERT_EQ(plan.commands.size(), 1U);
    EXPECT_EQ(plan.commands.front().target.port, 81);
    EXPECT_EQ(plan.weights.at(base::workspace_id("w1")), base::share_weight(3));
}

struct malformed_case {
    const char* name;
    std::string text;
    problem_kind kind;
    std::uint32_t line;
    const char* field;
};

class malformed_experiment : public testing::TestWithParam<malformed_case> {};

// Guards against malformed settings that are accepted, and against error messages with the wrong
// location.
TEST_P(malformed_experiment, is_refused_with_its_place)
{
    const auto document = read_experiment(GetParam().text, "x.ini");
    ASSERT_EQ(document.problems.size(), 1U);
    const auto& problem = document.problems.front();
    EXPECT_EQ(problem.kind, GetParam().kind) << to_string(problem);
    EXPECT_EQ(problem.line.value(), GetParam().line) << to_string(problem);
    EXPECT_EQ(problem.field.value(), GetParam().field);
    EXPECT_EQ(problem.file, "x.ini");
    EXPECT_FALSE(problem.expected.empty());
}

malformed_case wrong(const char* name, const std::string& from, const std::string& to,
                     std::uint32_t line, const char* field)
{
    return {name, replaced(from, to), problem_kind::wrong_format, line, field};
}

INSTANTIATE_TEST_SUITE_P(
    table, malformed_experiment,
    testing::Values(
        wrong("duration_zero", "10s", "0s", 2, "duration"),
        wrong("duration_not_whole", "10s", "10500ms", 2, "duration"),
        wrong("duration_over_an_hour", "10s", "2h", 2, "duration"),
        wrong("target_without_port", "127.0.0.1:80\n", "127.0.0.1\n", 3, "targets"),
        wrong("target_port_0", "127.0.0.1:80\n", "127.0.0.1:0\n", 3, "targets"),
        wrong("target_not_loopback", "127.0.0.1:80\n", "127.0.0.1:80, 10.0.0.1:80\n", 3, "targets"),
        wrong("path_without_slash", "/files", "files", 5, "path"),
        wrong("path_with_space", "/files/1", "/files 1", 5, "path"),
        wrong("rate_zero", "100.5/s", "0/s", 7, "rate"),
        wrong("rate_without_unit", "100.5/s", "100", 7, "rate"),
        wrong("factor_too_large", "2.5", "1001", 12, "factor"),
        wrong("factor_negative", "2.5", "-1", 12, "factor"),
        wrong("length_zero", "length = 3s", "length = 0s", 11, "length"),
        wrong("command_not_loopback", "127.0.0.1:81", "10.0.0.1:81", 15, "target"),
        wrong("weight_zero", "weight = 3", "weight = 0", 18, "weight"),
        wrong("retries_too_many", "rate = 100.5/s\n", "rate = 1/s\nretries = 101\n", 8, "retries"),
        wrong("method_unknown", "rate = 100.5/s\n", "rate = 1/s\nmethod = get\n", 8, "method"),
        wrong("importance_unknown", "rate = 100.5/s\n", "rate = 1/s\nimportance = high\n", 8,
              "importance"),
        wrong("outstanding_too_many", "duration = 10s\n",
              "duration = 10s\nmax_outstanding = 20001\n", 3, "max_outstanding"),
        malformed_case{"duration_missing", replaced("duration = 10s\n", ""),
                       problem_kind::missing_field, 1, "duration"},
        malformed_case{"field_unknown", replaced("weight = 3", "weight = 3\nrate = 1/s"),
                       problem_kind::unknown_field, 19, "rate"},
        malformed_case{"section_unknown", valid + "[stream/b]\npath = /x\n",
                       problem_kind::unknown_path, 19, ""},
        malformed_case{"section_too_deep", valid + "[streams/b/c]\npath = /x\n",
                       problem_kind::unknown_path, 19, ""},
        malformed_case{"surge_of_no_stream", replaced("stream = a", "stream = b"),
                       problem_kind::missing_reference, 9, "stream"},
        malformed_case{"weight_of_no_workspace", replaced("[workspaces/w1]", "[workspaces/w2]"),
                       problem_kind::missing_reference, 17, ""},
        malformed_case{"surge_past_the_end", replaced("length = 3s", "length = 9s"),
                       problem_kind::out_of_range, 11, "length"},
        malformed_case{"command_past_the_end", replaced("at = 2s", "at = 11s"),
                       problem_kind::out_of_range, 14, "at"},
        malformed_case{"too_many_requests", replaced("100.5/s", "500000/s"), problem_kind::too_many,
                       2, "duration"},
        malformed_case{"too_many_with_retries", replaced("100.5/s", "10000/s\nretries = 100"),
                       problem_kind::too_many, 2, "duration"}),
    [](const auto& tested) { return std::string(tested.param.name); });

// Guards against non-loopback targets that are accepted without the option or rejected with it.
TEST(experiment_reader, any_address_permits_other_targets)
{
    const auto text = replaced("127.0.0.1:80\n", "10.0.0.1:80\n");
    EXPECT_FALSE(read_experiment(text, "x.ini").problems.empty());
    EXPECT_TRUE(read_experiment(text, "x.ini", address_policy::any).problems.empty());
}

// Guards against a crash on malformed input: 2,000 texts with up to 8 changed bytes each.
TEST(experiment_reader, survives_random_bytes)
{
    std::mt19937 random(7);
    for (int round = 0; round < 2000; ++round) {
        auto text = valid;
        for (auto changes = random() % 8; changes > 0; --changes) {
            text[random() % text.size()] = static_cast<char>(random());
        }
        const auto document = read_experiment(text, "x.ini");
        if (document.problems.empty()) {
            EXPECT_FALSE(document.plan.streams.empty());
        }
    }
}

} // namespace
} // namespace damaskladder::load
