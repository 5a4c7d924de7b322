#include "consensus/requests_admission.hpp"

#include <gtest/gtest.h>

#include <string>

namespace damaskladder::consensus {
namespace {

struct admission_case {
    std::string name;
    /// Nonce under which the replica's own log names it; not named if 0.
    std::uint64_t named_nonce;
    std::optional<replica_id> leader;
    bool expected;
};

class admission_requests : public testing::TestWithParam<admission_case> {};

// Guards against a replica that waits for a leader that does not count it as a member.
TEST_P(admission_requests, are_made_outside_the_cluster)
{
    replica_status status;
    status.identity = {replica_id("d"), identity_nonce(2)};
    if (GetParam().named_nonce != 0) {
        status.members.members.push_back(
            {{replica_id("d"), identity_nonce(GetParam().named_nonce)}, member_role::voter});
    }
    status.known_leader = GetParam().leader;
    EXPECT_EQ(requests_admission(status), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(table, admission_requests,
                         testing::Values(admission_case{"empty_log", 0, {}, true},
                                         admission_case{"not_a_member", 0, replica_id("a"), true},
                                         admission_case{"member_under_an_older_identity", 1,
                                                        replica_id("a"), true},
                                         admission_case{"member", 2, replica_id("a"), false},
                                         admission_case{"leader", 2, replica_id("d"), false},
                                         admission_case{"member_without_leader", 2, {}, true}),
                         [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::consensus
