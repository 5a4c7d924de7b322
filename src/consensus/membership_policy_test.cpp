#include "consensus/membership_policy.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace damaskladder::consensus {
namespace {

using namespace std::chrono_literals;
using std::chrono::seconds;

replica_identity identity(const std::string& id, std::uint64_t nonce = 1)
{
    return {replica_id(id), identity_nonce(nonce)};
}

base::time_point at(int s)
{
    return base::time_point(seconds(s));
}

/// Status of leader "a" with other voters, all last heard at 100 s.
replica_status leader_of(const std::vector<std::string>& others)
{
    replica_status status;
    status.identity = identity("a");
    status.role = replica_role::leader;
    status.members.members.push_back({identity("a"), member_role::voter});
    for (const auto& other : others) {
        status.members.members.push_back({identity(other), member_role::voter});
        status.contacts.push_back({replica_id(other), at(100)});
    }
    return status;
}

void silence(replica_status& status, const std::string& id)
{
    for (auto& contact : status.contacts) {
        if (contact.id == replica_id(id)) {
            contact.last_heard = at(90);
        }
    }
}

std::string text(const std::optional<membership_change>& change)
{
    if (!change) {
        return "none";
    }
    if (const auto* added = std::get_if<add_replica>(&*change)) {
        return "add " + added->identity.id.value() + "/" +
               std::to_string(added->identity.nonce.value());
    }
    return "remove " + std::get<remove_replica>(*change).id.value();
}

struct policy_case {
    std::string name;
    replica_status status;
    std::function<void(membership_policy&)> before;
    std::string expected;
};

replica_status silent_one(const std::vector<std::string>& others, const std::string& id)
{
    auto status = leader_of(others);
    silence(status, id);
    return status;
}

/// Voters "a" and "b", and learner `id`, the last one of them, under another identity.
replica_status wiped(const std::string& id, std::uint64_t nonce)
{
    auto status = leader_of({"b", id});
    status.members.members.back() = {identity(id, nonce), member_role::learner};
    return status;
}

replica_status follower()
{
    auto status = leader_of({"b", "c"});
    status.role = replica_role::follower;
    return status;
}

/// Leader "a" with voter "b", voter "c" that is silent for some time, and learner "d".
replica_status with_learner(base::duration silence_of_c, bool caught_up)
{
    auto status = leader_of({"b", "c"});
    status.contacts.back().last_heard = at(100) - silence_of_c;
    status.members.members.push_back({identity("d"), member_role::learner});
    status.contacts.push_back({replica_id("d"), at(100), caught_up});
    return status;
}

void nothing(membership_policy& /*policy*/) {}

class membership_decisions : public testing::TestWithParam<policy_case> {};

// Guards against a cluster that needs an operator after a lost disk or a replaced VM, and against
// one that removes so many voters that the next failure stops it.
TEST_P(membership_decisions, asks_for_the_change)
{
    membership_policy decisions;
    GetParam().before(decisions);
    EXPECT_EQ(text(decisions.next_change(GetParam().status, at(100))), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    table, membership_decisions,
    testing::Values(
        policy_case{"all_there", leader_of({"b", "c"}), nothing, "none"},
        policy_case{"a_new_replica_asks", leader_of({"b", "c"}),
                    [](auto& u) { u.on_join_request(identity("d"), at(99)); }, "add d/1"},
        policy_case{"a_wiped_replica_asks", leader_of({"b", "c"}),
                    [](auto& u) { u.on_join_request(identity("c", 2), at(99)); }, "add c/2"},
        policy_case{"wiped_twice_and_admitted", wiped("c", 3),
                    [](auto& u) {
                        u.on_join_request(identity("c", 2), at(99));
                        u.on_join_request(identity("c", 3), at(100));
                    },
                    "none"},
        policy_case{"wiped_twice_before_it_was_admitted", leader_of({"b", "c"}),
                    [](auto& u) {
                        u.on_join_request(identity("c", 3), at(99));
                        u.on_join_request(identity("c", 2), at(100));
                    },
                    "add c/2"},
        policy_case{"a_member_asks", leader_of({"b", "c"}),
                    [](auto& u) { u.on_join_request(identity("c"), at(99)); }, "none"},
        policy_case{"an_old_request", leader_of({"b", "c"}),
                    [](auto& u) { u.on_join_request(identity("d"), at(90)); }, "none"},
        policy_case{"a_follower_asked", follower(),
                    [](auto& u) { u.on_join_request(identity("d"), at(99)); }, "none"},
        policy_case{"silent_of_three", silent_one({"b", "c"}, "c"), nothing, "none"},
        policy_case{"silent_of_four", silent_one({"b", "c", "d"}, "c"), nothing, "remove c"},
        policy_case{"silent_of_three_with_a_successor", with_learner(1100ms, true), nothing,
                    "remove c"},
        policy_case{"silent_of_three_with_a_successor_that_catches_up", with_learner(1100ms, false),
                    nothing, "none"},
        policy_case{"silent_of_three_with_a_successor_that_leaves", with_learner(1100ms, true),
                    [](auto& u) { u.on_leave_request(identity("d"), at(100)); }, "remove d"},
        policy_case{"silent_for_a_short_time_beside_a_learner", with_learner(900ms, true), nothing,
                    "none"},
        policy_case{"live_beside_a_learner", with_learner(0ms, true), nothing, "none"},
        policy_case{"leaving_of_three", leader_of({"b", "c"}),
                    [](auto& u) { u.on_leave_request(identity("b"), at(100)); }, "none"},
        policy_case{"leaving_of_four", leader_of({"b", "c", "d"}),
                    [](auto& u) { u.on_leave_request(identity("b"), at(100)); }, "remove b"},
        policy_case{"leaving_beside_a_silent_one", silent_one({"b", "c", "d"}, "c"),
                    [](auto& u) { u.on_leave_request(identity("b"), at(100)); }, "none"},
        policy_case{"silent_and_another_asks", silent_one({"b", "c", "d"}, "c"),
                    [](auto& u) { u.on_join_request(identity("e"), at(99)); }, "remove c"},
        policy_case{"two_ask_and_the_first_was_refused", leader_of({"b", "c"}),
                    [](auto& u) {
                        u.on_join_request(identity("d"), at(100));
                        u.on_join_request(identity("e"), at(100));
                        u.on_refused(add_replica{identity("d")}, refusal_reason::too_many_members,
                                     at(100));
                    },
                    "add e/1"},
        policy_case{"refused_while_another_change_was_in_progress", leader_of({"b", "c"}),
                    [](auto& u) {
                        u.on_join_request(identity("d"), at(100));
                        u.on_refused(add_replica{identity("d")}, refusal_reason::change_in_progress,
                                     at(100));
                    },
                    "add d/1"},
        policy_case{"refused_longer_ago_than_the_backoff", leader_of({"b", "c"}),
                    [](auto& u) {
                        u.on_join_request(identity("d"), at(99));
                        u.on_refused(add_replica{identity("d")}, refusal_reason::too_many_members,
                                     at(98));
                    },
                    "add d/1"},
        policy_case{"a_refused_removal_and_a_join", silent_one({"b", "c", "d"}, "c"),
                    [](auto& u) {
                        u.on_join_request(identity("e"), at(99));
                        u.on_refused(remove_replica{replica_id("c")},
                                     refusal_reason::would_lose_quorum, at(100));
                    },
                    "add e/1"},
        policy_case{"leaving_and_asking", leader_of({"b", "c"}),
                    [](auto& u) {
                        u.on_join_request(identity("d"), at(100));
                        u.on_leave_request(identity("d"), at(100));
                    },
                    "none"}),
    [](const auto& test) { return test.param.name; });

// Guards against a log line for each repetition of a refused request, and against a new reason that
// is not logged.
TEST(membership_policy, reports_a_refusal_once_for_each_reason)
{
    membership_policy decisions;
    const add_replica change{identity("d")};
    EXPECT_TRUE(decisions.on_refused(change, refusal_reason::too_many_members, at(1)));
    EXPECT_FALSE(decisions.on_refused(change, refusal_reason::too_many_members, at(2)));
    EXPECT_TRUE(decisions.on_refused(change, refusal_reason::would_lose_quorum, at(3)));
    EXPECT_TRUE(decisions.on_refused(remove_replica{replica_id("d")},
                                     refusal_reason::would_lose_quorum, at(3)));
}

} // namespace
} // namespace damaskladder::consensus
