#include "membership/member_table.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>

namespace damaskladder::membership {
namespace {

member_record record(const std::string& node, std::uint64_t incarnation, std::uint64_t version,
                     member_status status = member_status::alive)
{
    member_record made;
    made.node = base::node_id(node);
    made.incarnation = base::incarnation(incarnation);
    made.version = record_version(version);
    made.status = status;
    return made;
}

struct merge_case {
    std::string name;
    member_record held;
    member_record offered;
    merge_verdict verdict;
};

class member_table_merge : public testing::TestWithParam<merge_case> {};

// Guards against delayed messages that mark a dead node as alive or replace a newer record.
TEST_P(member_table_merge, gives_verdict)
{
    member_table table(4);
    table.merge(GetParam().held, {});
    EXPECT_EQ(table.merge(GetParam().offered, {}), GetParam().verdict);
    EXPECT_EQ(table.merge(GetParam().offered, {}), merge_verdict::ignored) << "repeated";
}

const member_record held = record("a", 5, 3);
const member_record dead = record("a", 5, 3, member_status::dead);
const member_record left = record("a", 5, 3, member_status::left);

member_record with_load(member_record changed)
{
    changed.load = load_level::full;
    return changed;
}

member_record with_backend(member_record changed)
{
    changed.backends.resize(1);
    return changed;
}

INSTANTIATE_TEST_SUITE_P(
    table, member_table_merge,
    testing::Values(
        merge_case{"same", held, held, merge_verdict::ignored},
        merge_case{"older_version", held, record("a", 5, 2), merge_verdict::ignored},
        merge_case{"newer_load", held, with_load(record("a", 5, 4)), merge_verdict::load_only},
        merge_case{"newer_backend", held, with_backend(record("a", 5, 4)), merge_verdict::updated},
        merge_case{"older_incarnation", held, record("a", 4, 9), merge_verdict::ignored},
        merge_case{"newer_incarnation", held, record("a", 6, 1), merge_verdict::added},
        merge_case{"dies", held, dead, merge_verdict::removed},
        merge_case{"leaves", held, left, merge_verdict::removed},
        merge_case{"alive_after_death", dead, record("a", 5, 9), merge_verdict::ignored},
        merge_case{"alive_after_leaving", left, record("a", 5, 9), merge_verdict::ignored},
        merge_case{"old_death", held, record("a", 4, 3, member_status::dead),
                   merge_verdict::ignored},
        merge_case{"dead_after_leaving", left, dead, merge_verdict::ignored},
        merge_case{"back_after_death", dead, record("a", 6, 1), merge_verdict::added},
        merge_case{"unknown_alive", held, record("b", 1, 1), merge_verdict::added},
        merge_case{"unknown_dead", held, record("b", 1, 1, member_status::dead),
                   merge_verdict::removed}),
    [](const auto& tested) { return tested.param.name; });

// Guards against results that depend on the order or duplication of messages (500 schedules).
TEST(member_table, any_order_gives_the_newest_records)
{
    std::mt19937_64 random(7);
    for (int schedule = 0; schedule < 500; ++schedule) {
        member_table table(16);
        member_table other(16);
        std::map<base::node_id, member_record> newest;
        std::vector<member_record> sent;
        for (int step = 0; step < 40; ++step) {
            const auto status = static_cast<member_status>(random() % 3);
            sent.push_back(
                record("n" + std::to_string(random() % 6), random() % 3, random() % 3, status));
        }
        for (const member_record& one : sent) {
            table.merge(one, {});
            auto [position, inserted] = newest.emplace(one.node, one);
            if (!inserted && supersedes(one, position->second)) {
                position->second = one;
            }
        }
        std::shuffle(sent.begin(), sent.end(), random);
        for (const member_record& one : sent) {
            other.merge(one, {});
            other.merge(sent[random() % sent.size()], {});
        }
        ASSERT_EQ(table.digest(), other.digest());
        ASSERT_EQ(table.buckets(), other.buckets());
        ASSERT_TRUE(table.differing_records(other.buckets()).empty());
        for (const auto& [node, expected] : newest) {
            ASSERT_FALSE(supersedes(expected, *table.find(node)));
            ASSERT_EQ(table.find(node)->status, expected.status);
            ASSERT_EQ(other.find(node)->incarnation, expected.incarnation);
        }
    }
}

// Guards against unbounded growth, and against a full table that evicts alive members.
TEST(member_table, full_table_evicts_oldest_tombstone_only)
{
    member_table table(2);
    table.merge(record("a", 1, 1), {});
    table.merge(record("b", 1, 1, member_status::left), {});
    EXPECT_EQ(table.merge(record("c", 1, 1), {}), merge_verdict::added);
    EXPECT_EQ(table.merge(record("d", 1, 1), {}), merge_verdict::refused_full);
    EXPECT_EQ(table.size(), 2U);
    EXPECT_EQ(table.find(base::node_id("b")), nullptr);
    EXPECT_EQ(table.alive_count(), 2U);
}

} // namespace
} // namespace damaskladder::membership
