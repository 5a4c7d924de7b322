#include "settings/setting_diff.hpp"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace damaskladder::settings {
namespace {

setting_tree random_tree(std::mt19937_64& random)
{
    setting_tree tree;
    for (int i = 0; i < 12; ++i) {
        auto path = setting_path::parse("t/" + std::to_string(random() % 5));
        tree.set(*path, field_name("f" + std::to_string(random() % 3)),
                 field_value(std::to_string(random() % 3)));
    }
    return tree;
}

// Guards against differences that omit a field, and against an inverse that does not restore the
// original: 1,000 pairs of random trees.
TEST(setting_diff, turns_one_tree_into_the_other_and_back)
{
    std::mt19937_64 random(3);
    for (int round = 0; round < 1'000; ++round) {
        auto before = random_tree(random);
        auto after = random_tree(random);
        auto diff = difference(before, after);
        auto tree = before;
        ASSERT_TRUE(apply(diff, tree));
        ASSERT_EQ(tree, after);
        ASSERT_TRUE(apply(inverse(diff), tree));
        ASSERT_EQ(tree, before);
        if (!diff.empty() && !apply(diff, after)) {
            ASSERT_TRUE(difference(after, tree) == inverse(diff))
                << "a rejected diff changed the tree";
        }
    }
}

// Guards against a difference that changes a field twice: the second change would be checked
// against the value before the first, and applied to the value after it.
TEST(setting_diff, refuses_repeated_fields)
{
    setting_tree after;
    after.set(*setting_path::parse("teams/a/policy"), field_name("revision"), field_value("2"));
    auto diff = difference({}, after);
    diff.changes.push_back(diff.changes.front());
    setting_tree tree;
    EXPECT_FALSE(apply(diff, tree));
    EXPECT_TRUE(tree.empty());
}

// Guards against key hashes in printed differences.
TEST(setting_diff, prints_keys_without_hashes)
{
    setting_tree after;
    after.set(*setting_path::parse("teams/a/keys/k1"), field_name("hash"), field_value("abcdef"));
    after.set(*setting_path::parse("teams/a/policy"), field_name("revision"), field_value("2"));
    EXPECT_EQ(to_string(difference({}, after)), "+ teams/a/keys/k1 hash = (hash of k1)\n"
                                                "+ teams/a/policy revision = 2\n");
}

struct within_case {
    const char* path;
    const char* root;
    bool within;
};

class path_within : public testing::TestWithParam<within_case> {};

// Guards against access to a subtree that is granted because its name begins with that of another,
// such as teams/ab and teams/a.
TEST_P(path_within, compares_whole_parts)
{
    auto root = setting_path::parse(GetParam().root).value_or(setting_path());
    EXPECT_EQ(setting_path::parse(GetParam().path)->is_within(root), GetParam().within);
    setting_tree tree;
    tree.set(*setting_path::parse(GetParam().path), field_name("f"), field_value("1"));
    tree.set(*setting_path::parse("teams/a.b/x"), field_name("f"), field_value("1"));
    EXPECT_EQ(tree.subtree(root).find(*setting_path::parse(GetParam().path)) != nullptr,
              GetParam().within);
}

INSTANTIATE_TEST_SUITE_P(table, path_within,
                         testing::Values(within_case{"teams/a", "teams/a", true},
                                         within_case{"teams/a/keys/k", "teams/a", true},
                                         within_case{"teams/ab", "teams/a", false},
                                         within_case{"teams", "teams/a", false},
                                         within_case{"fleet", "", true}));

} // namespace
} // namespace damaskladder::settings
