#include "propagation/choose_upstreams.hpp"

#include <gtest/gtest.h>

#include <string>

namespace damaskladder::propagation {
namespace {

peer peer_of(const std::string& name)
{
    return {base::node_id(name), base::message_address(name + ":1")};
}

base::node_id node(const std::string& name)
{
    return base::node_id(name);
}

struct choice_case {
    std::string name;
    upstream_candidates known;
    upstream_list expected;
};

class upstream_choices : public testing::TestWithParam<choice_case> {};

// Guards against replicas that poll each other while nobody polls the leader, against a few VMs of
// one failure domain that carry the settings of all others, and against upstreams that all fail at
// once.
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
                    {{peer_of("a"), peer_of("b")}}},
        choice_case{"node_prefers_replicas_of_its_failure_domain",
                    {{}, {}, {peer_of("a"), peer_of("b"), peer_of("c")}, {node("b")}, 200},
                    {{peer_of("b")}, {peer_of("a"), peer_of("c")}}},
        choice_case{"replica_near_that_is_no_member_yet",
                    {{}, {}, {peer_of("a"), peer_of("b")}, {node("x")}, 30},
                    {{peer_of("a"), peer_of("b")}}},
        choice_case{"replicas_suffice",
                    {{}, {peer_of("r")}, {peer_of("a"), peer_of("b")}, {node("a")}, 128},
                    {{peer_of("a")}, {peer_of("b")}}},
        choice_case{"node_of_a_large_fleet_prefers_relays",
                    {{}, {peer_of("r")}, {peer_of("a"), peer_of("b")}, {node("a")}, 129},
                    {{peer_of("r")}, {peer_of("a")}}},
        choice_case{"few_replicas_in_reserve_behind_relays",
                    {{}, {peer_of("r")}, {peer_of("a"), peer_of("b"), peer_of("c")}, {}, 400},
                    {{peer_of("r")}, {peer_of("a"), peer_of("b")}}},
        choice_case{"relay_of_a_large_fleet_polls_replicas",
                    {{}, {}, {peer_of("a"), peer_of("b")}, {node("b")}, 400},
                    {{peer_of("b")}, {peer_of("a")}}},
        choice_case{"replica_polls_leader_only",
                    {peer_of("b"), {}, {peer_of("a"), peer_of("b")}},
                    {{peer_of("b")}}},
        choice_case{
            "replica_polls_unlisted_leader", {peer_of("d"), {}, {peer_of("a")}}, {{peer_of("d")}}},
        choice_case{"replica_prefers_leader_to_relays",
                    {peer_of("b"), {peer_of("r")}, {peer_of("a")}, {}, 400},
                    {{peer_of("b")}}}),
    [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::propagation
