#include "settings/ini_reader.hpp"
#include "settings/ini_writer.hpp"
#include "settings/sample_settings_test.hpp"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace damaskladder::settings {
namespace {

struct malformed_case {
    const char* name;
    std::string text;
    problem_kind kind;
    std::uint32_t line;
};

std::string repeated(std::size_t count, char c)
{
    return std::string(count, c);
}

class malformed_ini : public testing::TestWithParam<malformed_case> {};

// Guards against text that inih truncates or accepts silently, and against wrong line numbers.
TEST_P(malformed_ini, is_refused_with_its_line)
{
    auto document = read_ini(GetParam().text, "x.ini");
    ASSERT_EQ(document.problems.size(), 1U);
    const auto& problem = document.problems.front();
    EXPECT_EQ(problem.kind, GetParam().kind) << to_string(problem);
    EXPECT_EQ(problem.line.value(), GetParam().line) << to_string(problem);
    EXPECT_EQ(problem.file, "x.ini");
    EXPECT_FALSE(problem.expected.empty());
}

INSTANTIATE_TEST_SUITE_P(
    table, malformed_ini,
    testing::Values(
        malformed_case{"no_section", "a = 1\n", problem_kind::syntax, 1},
        malformed_case{"no_equals", "[a]\nb = 1\nnonsense\n", problem_kind::syntax, 3},
        malformed_case{"open_bracket", "[a\nb = 1\n", problem_kind::syntax, 1},
        malformed_case{"after_bracket", "[a] b\nb = 1\n", problem_kind::syntax, 1},
        malformed_case{"empty_path", "[]\nb = 1\n", problem_kind::syntax, 1},
        malformed_case{"bad_path", "[a//b]\nb = 1\n", problem_kind::syntax, 1},
        malformed_case{"deep_path", "[a/b/c/d/e]\nb = 1\n", problem_kind::syntax, 1},
        malformed_case{"empty_section", "[a]\n\n[b]\nc = 1\n", problem_kind::syntax, 1},
        malformed_case{"last_section_empty", "[b]\nc = 1\n[a]\n", problem_kind::syntax, 3},
        malformed_case{"section_of_50", "\n[" + repeated(50, 'a') + "]\nb = 1\n",
                       problem_kind::too_long, 2},
        malformed_case{"line_of_199", "[a]\nb = " + repeated(195, 'x') + "\n",
                       problem_kind::too_long, 2},
        malformed_case{"field_of_50", "[a]\n" + repeated(50, 'b') + " = 1\n",
                       problem_kind::too_long, 2},
        malformed_case{"upper_case_field", "[a]\nB = 1\n", problem_kind::syntax, 2},
        malformed_case{"empty_field", "[a]\n = 1\n", problem_kind::syntax, 2},
        malformed_case{"duplicate_section", "[a]\nb = 1\n[c]\nb = 1\n[a]\nd = 1\n",
                       problem_kind::duplicate_section, 5},
        malformed_case{"duplicate_field", "[a]\nb = 1\nc = 2\nb = 1\n",
                       problem_kind::duplicate_field, 4},
        malformed_case{"zero_byte", std::string("[a]\nb = 1\0002\n", 12), problem_kind::syntax, 2},
        malformed_case{"not_ascii", "[a]\nb = \xC3\xA9\n", problem_kind::syntax, 2},
        malformed_case{"indent_after_section", "[a]\n  b\nc = 1\n", problem_kind::syntax, 2},
        malformed_case{"long_value",
                       "[a]\nb = x\n" +
                           []() {
                               std::string lines;
                               for (int i = 0; i < 11; ++i) {
                                   lines += " " + repeated(99, 'x') + "\n";
                               }
                               return lines;
                           }(),
                       problem_kind::too_long, 12}),
    [](const auto& test) { return test.param.name; });

struct accepted_case {
    const char* name;
    std::string text;
    std::string value;
};

class accepted_ini : public testing::TestWithParam<accepted_case> {};

// Guards against rejecting or altering valid notations of a value.
TEST_P(accepted_ini, holds_the_value)
{
    auto document = read_ini(GetParam().text, "x.ini");
    ASSERT_TRUE(document.problems.empty()) << to_string(document.problems.front());
    const auto* value = document.tree.find(*setting_path::parse("a"), field_name("b"));
    ASSERT_NE(value, nullptr);
    EXPECT_EQ(value->value(), GetParam().value);
}

INSTANTIATE_TEST_SUITE_P(
    table, accepted_ini,
    testing::Values(accepted_case{"plain", "[a]\nb=1", "1"},
                    accepted_case{"comment", "; c\n# d\n[a] ; e\nb = 1 ; f\n", "1"},
                    accepted_case{"windows_lines", "[a]\r\nb = 1\r\n", "1"},
                    accepted_case{"byte_order_mark", "\xEF\xBB\xBF[a]\nb = 1\n", "1"},
                    accepted_case{"commas", "[a]\nb = x ,y,  z\n", "x, y, z"},
                    accepted_case{"continued", "[a]\nb = x,\n  y,\n\n  z\n", "x, y, z"},
                    accepted_case{"line_of_198", "[a]\nb = " + std::string(194, 'x') + "\n",
                                  std::string(194, 'x')},
                    accepted_case{"section_of_49_elsewhere",
                                  "[" + std::string(49, 'a') + "]\nb = 2\n[a]\nb = 1\n", "1"}),
    [](const auto& test) { return test.param.name; });

// Guards against output that is read back differently, including lists that wrap.
TEST(ini_writer, output_reads_back_equal)
{
    auto tree = read_ini(sample_settings(), "x.ini").tree;
    std::string list;
    for (int i = 0; i < 60; ++i) {
        list += (i == 0 ? "" : ", ") + std::string("workspace") + std::to_string(i);
    }
    tree.set(*setting_path::parse("teams/t/routes/r"), field_name("workspaces"), field_value(list));
    auto document = read_ini(write_ini(tree), "y.ini");
    ASSERT_TRUE(document.problems.empty()) << to_string(document.problems.front());
    EXPECT_EQ(document.tree, tree);
}

// Guards against crashes and unbounded reports on arbitrary bytes: 3,000 random texts.
TEST(ini_reader, survives_random_bytes)
{
    std::mt19937_64 random(7);
    const std::string frequent = "[]=:;# \t\n\r/ab1,\xEF[teams/a]\n b = 1\n";
    for (int round = 0; round < 3'000; ++round) {
        std::string text;
        auto length = random() % 400;
        for (std::size_t i = 0; i < length; ++i) {
            text += random() % 4 == 0 ? static_cast<char>(random())
                                      : frequent[random() % frequent.size()];
        }
        auto document = read_ini(text, "random");
        EXPECT_LE(document.problems.size(), max_problems);
        if (document.problems.empty()) {
            EXPECT_EQ(read_ini(write_ini(document.tree), "again").tree, document.tree);
        }
    }
}

} // namespace
} // namespace damaskladder::settings
