#include "daemon/member_list.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace damaskladder::daemon {
namespace {

using namespace std::chrono_literals;

struct member_case {
    std::string name;
    consensus::member_role role;
    /// Time since the leader heard from the member; none if another replica is asked.
    std::optional<base::duration> silent;
    std::string line;
};

class listed_members : public testing::TestWithParam<member_case> {};

// Guards against a lost control VM that an operator cannot find: status named the members only.
TEST_P(listed_members, say_who_votes_and_who_is_missing)
{
    const base::time_point now(1h);
    consensus::replica_status status;
    status.members.members.push_back(
        {{consensus::replica_id("c1"), consensus::identity_nonce(1)}, GetParam().role});
    if (GetParam().silent) {
        status.contacts.push_back({consensus::replica_id("c1"), now - *GetParam().silent});
    }
    EXPECT_EQ(member_list(status, now).dump(), "[" + GetParam().line + "]");
}

constexpr auto voter = consensus::member_role::voter;
constexpr auto learner = consensus::member_role::learner;

INSTANTIATE_TEST_SUITE_P(
    table, listed_members,
    testing::Values(member_case{"not_the_leader", voter, std::nullopt,
                                R"({"name":"c1","voter":true})"},
                    member_case{"standby", learner, 20ms,
                                R"({"name":"c1","voter":false,"silent_ms":20,"missing":false})"},
                    member_case{"just_heard", voter, 1999ms,
                                R"({"name":"c1","voter":true,"silent_ms":1999,"missing":false})"},
                    member_case{"missing", voter, 2s,
                                R"({"name":"c1","voter":true,"silent_ms":2000,"missing":true})"},
                    member_case{"heard_later_than_asked", voter, -5ms,
                                R"({"name":"c1","voter":true,"silent_ms":0,"missing":false})"}),
    [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::daemon
