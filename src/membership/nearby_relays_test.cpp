#include "membership/nearby_relays.hpp"

#include <gtest/gtest.h>

#include <string>

namespace damaskladder::membership {
namespace {

struct relay_case {
    const char* name;
    const char* location;
    std::vector<std::string> expected;
};

member_record record(const std::string& name, const std::string& vm_domain, member_status status)
{
    member_record made;
    made.node = base::node_id(name);
    made.domain = base::failure_domain_id("fleet");
    made.vm_domain = base::failure_domain_id(vm_domain);
    made.incarnation = base::incarnation(1);
    made.status = status;
    return made;
}

class relays_of_a_group : public testing::TestWithParam<relay_case> {};

// Guards against two VMs of one failure domain that serve the settings to all others, and thereby
// fail for all of them at once.
TEST_P(relays_of_a_group, are_in_the_failure_domain_of_the_asker)
{
    member_table table(10);
    table.merge(record("n1", "east", member_status::alive), {});
    table.merge(record("n2", "east", member_status::dead), {});
    table.merge(record("n3", "west", member_status::alive), {});
    table.merge(record("n4", "east", member_status::alive), {});
    table.merge(record("n5", "east", member_status::alive), {});
    std::vector<std::string> names;
    constexpr std::size_t relay_count = 2;
    for (const auto& relay :
         nearby_relays(table, base::failure_domain_id(GetParam().location), relay_count)) {
        names.push_back(relay.node.value());
    }
    EXPECT_EQ(names, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    table, relays_of_a_group,
    testing::Values(relay_case{"first_two_that_are_alive", "east", {"n1", "n4"}},
                    relay_case{"only_one", "west", {"n3"}}, relay_case{"none", "north", {}}),
    [](const auto& test) { return std::string(test.param.name); });

} // namespace
} // namespace damaskladder::membership
