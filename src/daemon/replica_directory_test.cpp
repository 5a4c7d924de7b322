#include "daemon/replica_directory.hpp"

#include <gtest/gtest.h>

#include <string>

namespace damaskladder::daemon {
namespace {

propagation::peer peer_of(const std::string& name)
{
    return {base::node_id(name), base::message_address(name + ":7000")};
}

propagation::replica_list list_of(std::uint64_t version, const std::vector<std::string>& names)
{
    propagation::replica_list list{propagation::replica_list_version(version), {}};
    for (const auto& name : names) {
        list.replicas.push_back(peer_of(name));
    }
    return list;
}

struct directory_case {
    std::string name;
    std::vector<std::string> listed;
    std::vector<propagation::replica_list> updates;
    std::vector<std::string> expected_others;
    bool discovers_replicas = true;
};

class known_replicas : public testing::TestWithParam<directory_case> {};

// Guards against a process that looks for the control replicas only where they were at its start.
TEST_P(known_replicas, are_present_members_then_listed_ones)
{
    process_settings settings;
    settings.name = base::node_id("10.0.0.9");
    settings.discovers_replicas = GetParam().discovers_replicas;
    settings.messages_port = 7000;
    for (const auto& name : GetParam().listed) {
        settings.replicas[base::node_id(name)] = {name, settings.messages_port};
    }
    replica_directory directory(settings);
    for (const auto& each : GetParam().updates) {
        directory.update(each);
    }
    std::vector<propagation::peer> expected;
    for (const auto& name : GetParam().expected_others) {
        expected.push_back(peer_of(name));
        EXPECT_TRUE(directory.contains(base::node_id(name))) << name;
        EXPECT_EQ(directory.address_of(base::node_id(name)), base::message_address(name + ":7000"));
    }
    EXPECT_EQ(directory.others(), expected);
    EXPECT_FALSE(directory.contains(base::node_id("10.0.0.77")));
}

INSTANTIATE_TEST_SUITE_P(
    table, known_replicas,
    testing::Values(
        directory_case{"listed_only", {"10.0.0.1", "10.0.0.2"}, {}, {"10.0.0.1", "10.0.0.2"}},
        directory_case{"one_more_member",
                       {"10.0.0.1"},
                       {list_of(2, {"10.0.0.1", "10.0.0.4"})},
                       {"10.0.0.1", "10.0.0.4"}},
        directory_case{"all_replaced",
                       {"10.0.0.1"},
                       {list_of(2, {"10.0.0.4", "10.0.0.5"})},
                       {"10.0.0.4", "10.0.0.5", "10.0.0.1"}},
        directory_case{"addresses_from_the_list",
                       {"10.0.0.1"},
                       {list_of(2, {"10.0.0.4"})},
                       {"10.0.0.4", "10.0.0.1"},
                       false},
        directory_case{"older_list_ignored",
                       {},
                       {list_of(3, {"10.0.0.5"}), list_of(2, {"10.0.0.4"})},
                       {"10.0.0.5"}},
        directory_case{
            "without_itself", {"10.0.0.9"}, {list_of(2, {"10.0.0.9", "10.0.0.4"})}, {"10.0.0.4"}}),
    [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::daemon
