#include "propagation/choose_upstreams.hpp"

#include <gtest/gtest.h>

#include <string>

namespace damaskladder::propagation {
namespace {

peer peer_of(const std::string& name)
{
    return {base::node_id(name), base::message_address(name + ":1")};
}

struct choice_case {
    std::string name;
    upstream_candidates known;
    std::vector<peer> expected;
};

class upstream_choices : public testing::TestWithParam<choice_case> {};

// Guards against replicas that poll each other while nobody polls the leader.
TEST_P(upstream_choices, lead_to_the_leader)
{
    EXPECT_EQ(choose_upstreams(GetParam().known), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    table, upstream_choices,
    testing::Values(
        choice_case{"nothing_known", {}, {}},
        choice_case{"node_polls_replicas",
                    {{}, {}, {peer_of("a"), peer_of("b")}},
                    {peer_of("a"), peer_of("b")}},
        choice_case{"node_prefers_relays", {{}, {peer_of("r")}, {peer_of("a")}}, {peer_of("r")}},
        choice_case{"replica_polls_leader_only",
                    {peer_of("b"), {}, {peer_of("a"), peer_of("b")}},
                    {peer_of("b")}},
        choice_case{
            "replica_polls_unlisted_leader", {peer_of("d"), {}, {peer_of("a")}}, {peer_of("d")}},
        choice_case{"replica_prefers_leader_to_relays",
                    {peer_of("b"), {peer_of("r")}, {peer_of("a")}},
                    {peer_of("b")}}),
    [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::propagation
