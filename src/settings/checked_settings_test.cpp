#include "settings/checked_settings.hpp"
#include "settings/ini_reader.hpp"
#include "settings/sample_settings_test.hpp"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace damaskladder::settings {
namespace {

checked_settings checked_sample()
{
    checked_settings checked;
    auto problems = checked.apply(difference({}, read_ini(sample_settings(), "x.ini").tree));
    EXPECT_TRUE(problems.empty()) << to_string(problems.front());
    return checked;
}

struct edit_case {
    const char* name;
    /// The field is removed if the value is "-".
    const char* path;
    const char* field;
    std::string value;
    problem_kind kind;
};

setting_tree apply_edit(setting_tree tree, const edit_case& edit)
{
    auto path = *setting_path::parse(edit.path);
    if (edit.value == "-") {
        tree.erase(path, field_name(edit.field));
    }
    else {
        tree.set(path, field_name(edit.field), field_value(edit.value));
    }
    return tree;
}

class refused_edit : public testing::TestWithParam<edit_case> {};

// Guards against accepting settings that nodes cannot use, and against rejected changes that modify
// the tree.
TEST_P(refused_edit, names_the_problem_and_changes_nothing)
{
    auto checked = checked_sample();
    auto before = checked.tree();
    auto diff = difference(before, apply_edit(before, GetParam()));
    EXPECT_EQ(checked.check(diff), checked.apply(diff));
    auto problems = checked.apply(diff);
    ASSERT_FALSE(problems.empty());
    EXPECT_EQ(problems.front().kind, GetParam().kind) << to_string(problems.front());
    EXPECT_EQ(checked.tree(), before);
}

constexpr const char* route = "teams/grants/routes/pay";
constexpr const char* open_route = "teams/fairs/routes/calendar";
constexpr const char* key = "teams/grants/keys/k1";
constexpr const char* workspace = "teams/grants/workspaces/w1";
constexpr const char* service = "teams/grants/services/treasury";
constexpr const char* domain = "fleet/domains/fd1";

INSTANTIATE_TEST_SUITE_P(
    table, refused_edit,
    testing::Values(
        edit_case{"unknown_path", "teams/grants/other/x", "a", "1", problem_kind::unknown_path},
        edit_case{"unknown_field", route, "colour", "red", problem_kind::unknown_field},
        edit_case{"missing_field", route, "service", "-", problem_kind::missing_field},
        edit_case{"no_workspaces", route, "workspaces", "-", problem_kind::missing_field},
        edit_case{"duration_without_unit", route, "timeout", "500", problem_kind::wrong_format},
        edit_case{"duration_wrong_unit", route, "timeout", "500MiB", problem_kind::wrong_format},
        edit_case{"duration_negative", route, "timeout", "-1s", problem_kind::wrong_format},
        edit_case{"duration_too_long", route, "timeout", "601s", problem_kind::out_of_range},
        edit_case{"duration_overflow", route, "timeout", "99999999999999999999s",
                  problem_kind::wrong_format},
        edit_case{"size_without_unit", route, "max_body", "10", problem_kind::wrong_format},
        edit_case{"size_too_large", route, "max_body", "65MiB", problem_kind::out_of_range},
        edit_case{"retries_too_many", route, "retries", "11", problem_kind::out_of_range},
        edit_case{"importance", route, "importance", "urgent", problem_kind::wrong_format},
        edit_case{"yes_no", route, "idempotent", "true", problem_kind::wrong_format},
        edit_case{"prefix_relative", route, "prefix", "payments", problem_kind::wrong_format},
        edit_case{"prefix_dots", route, "prefix", "/a/../b", problem_kind::wrong_format},
        edit_case{"prefix_two_final_slashes", route, "prefix", "/payments//",
                  problem_kind::wrong_format},
        edit_case{"prefix_taken", route, "prefix", "/payments/calendar", problem_kind::not_unique},
        edit_case{"list_repeats", route, "workspaces", "w1, w1", problem_kind::wrong_format},
        edit_case{"list_gap", route, "workspaces", "w1, , w2", problem_kind::wrong_format},
        edit_case{"list_unknown", route, "workspaces", "w1, w9", problem_kind::missing_reference},
        edit_case{"open_with_workspaces", open_route, "workspaces", "w1",
                  problem_kind::contradiction},
        edit_case{"open_at_most_once", open_route, "idempotent", "no", problem_kind::contradiction},
        edit_case{"rate_without_unit", workspace, "rate", "100", problem_kind::wrong_format},
        edit_case{"rate_per_minute", workspace, "rate", "100/min", problem_kind::wrong_format},
        edit_case{"rate_zero", workspace, "rate", "0/s", problem_kind::out_of_range},
        edit_case{"rate_too_fine", workspace, "rate", "0.0001/s", problem_kind::wrong_format},
        edit_case{"burst_zero", workspace, "burst", "0", problem_kind::out_of_range},
        edit_case{"cold_rate_without_unit", service, "cold_rate", "9.6",
                  problem_kind::wrong_format},
        edit_case{"cold_burst_zero", service, "cold_burst", "0", problem_kind::out_of_range},
        edit_case{"key_of_nobody", key, "workspace", "w9", problem_kind::missing_reference},
        edit_case{"hash_short", key, "hash", "abc", problem_kind::wrong_format},
        edit_case{"key_state", key, "state", "gone", problem_kind::wrong_format},
        edit_case{"share_sum", domain, "share", "1/3", problem_kind::contradiction},
        edit_case{"share_missing", domain, "share", "-", problem_kind::contradiction},
        edit_case{"share_above_one", domain, "share", "3/2", problem_kind::wrong_format},
        edit_case{"voters_even", domain, "lease_voters", "n1, n2", problem_kind::out_of_range},
        edit_case{"voters_too_many", domain, "lease_voters", "a, b, c, d, e, f, g",
                  problem_kind::out_of_range},
        edit_case{"voter_of_two", domain, "lease_voters", "n4", problem_kind::not_unique},
        edit_case{"evacuation_of_unknown", "fleet/evacuations/fd9", "active", "yes",
                  problem_kind::missing_reference},
        edit_case{"evacuation_active", "fleet/evacuations/fd1", "active", "true",
                  problem_kind::wrong_format},
        edit_case{"staleness_zero", "teams/fairs/limits", "max_staleness", "0s",
                  problem_kind::out_of_range},
        edit_case{"value_too_long", route, "service", std::string(1001, 'a'),
                  problem_kind::too_long}),
    [](const auto& test) { return test.param.name; });

struct tree_case {
    const char* name;
    const char* text;
    problem_kind kind;
    std::uint32_t line;
};

class refused_tree : public testing::TestWithParam<tree_case> {};

// Guards against accepting names that are not unique in the fleet, and against problems without
// file and line.
TEST_P(refused_tree, names_the_line)
{
    auto text = sample_settings() + GetParam().text;
    auto document = read_ini(text, "x.ini");
    ASSERT_TRUE(document.problems.empty());
    checked_settings checked;
    auto problems = checked.apply(difference({}, document.tree));
    document.lines.locate("x.ini", problems);
    ASSERT_EQ(problems.size(), 1U);
    EXPECT_EQ(problems.front().kind, GetParam().kind) << to_string(problems.front());
    EXPECT_EQ(problems.front().line.value(), GetParam().line) << to_string(problems.front());
    EXPECT_TRUE(checked.tree().empty());
}

INSTANTIATE_TEST_SUITE_P(
    table, refused_tree,
    testing::Values(
        tree_case{"workspace_twice", "[teams/z/workspaces/w1]\nrate = 1/s\nburst = 1\n",
                  problem_kind::not_unique, 36},
        tree_case{"service_twice",
                  "[teams/a/services/s]\ncold_rate = 1/s\n"
                  "[teams/z/services/s]\ncold_rate = 1/s\n",
                  problem_kind::not_unique, 38},
        tree_case{"key_of_other_team",
                  "[teams/z/keys/kz]\nworkspace = w1\nstate = active\n"
                  "hash = bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb\n",
                  problem_kind::missing_reference, 37},
        tree_case{"hash_twice",
                  "[teams/grants/keys/k2]\nworkspace = w1\nstate = active\n"
                  "hash = aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\n",
                  problem_kind::not_unique, 39},
        tree_case{"all_evacuated",
                  "[fleet/evacuations/fd1]\nactive = yes\n"
                  "[fleet/evacuations/fd2]\nactive = yes\n",
                  problem_kind::contradiction, 37}),
    [](const auto& test) { return test.param.name; });

// Guards against an index that becomes inconsistent with the tree: 2,000 random edits, each
// compared with a full check of the tree.
TEST(checked_settings, agrees_with_a_check_of_the_whole_tree)
{
    std::mt19937_64 random(11);
    const char* names[] = {"w1", "w2", "w3"};
    const char* values[] = {"w1", "w2", "w1, w3", "10/s", "5", "/p", "/q", "yes", "no", "svc", "-"};
    const char* paths[] = {"teams/a/workspaces/", "teams/b/workspaces/", "teams/a/keys/",
                           "teams/a/routes/",     "teams/b/routes/",     "fleet/domains/",
                           "fleet/evacuations/"};
    const char* fields[] = {"rate",   "burst",   "workspace",    "prefix",
                            "open",   "service", "workspaces",   "idempotent",
                            "region", "share",   "lease_voters", "active"};
    auto checked = checked_sample();
    int accepted = 0;
    for (int round = 0; round < 2'000; ++round) {
        auto tree = checked.tree();
        auto edits = 1 + random() % 4;
        auto path = std::string(paths[random() % 7]) + names[random() % 3];
        for (std::size_t i = 0; i < edits; ++i) {
            tree = apply_edit(tree,
                              {"", path.c_str(), fields[random() % 12], values[random() % 11], {}});
        }
        checked_settings reference;
        bool valid = reference.apply(difference({}, tree)).empty();
        bool applied = checked.apply(difference(checked.tree(), tree)).empty();
        ASSERT_EQ(applied, valid) << "round " << round;
        accepted += applied ? 1 : 0;
    }
    EXPECT_GT(accepted, 20);
}

} // namespace
} // namespace damaskladder::settings
