#include "membership/message_check.hpp"

#include <gtest/gtest.h>

#include <string>

namespace damaskladder::membership {
namespace {

struct bound_case {
    std::string name;
    message body;
    bool acceptable;
};

class membership_bounds : public testing::TestWithParam<bound_case> {};

// Guards against messages that cause unbounded memory use, and against missing ids and addresses.
TEST_P(membership_bounds, are_checked)
{
    EXPECT_EQ(acceptable(GetParam().body, membership_limits()), GetParam().acceptable);
}

const base::message_address address("a:1");
const base::failure_domain_id domain("d");

member_record record(const std::string& node, std::size_t backends = 1,
                     std::uint64_t incarnation = 1)
{
    member_record made;
    made.node = base::node_id(node);
    made.domain = domain;
    made.incarnation = base::incarnation(incarnation);
    made.messages = address;
    made.backends.resize(backends);
    for (backend_server& backend : made.backends) {
        backend.service = base::service_id("advice");
    }
    return made;
}

member_record with_slots(std::int64_t slots)
{
    member_record made = record("n");
    made.backends.front().slots = base::slot_count(slots);
    return made;
}

std::vector<member_record> records(std::size_t count)
{
    return std::vector<member_record>(count, record("n"));
}

subscribe subscribe_to(std::size_t services)
{
    subscribe made;
    made.reply_to = address;
    for (std::size_t index = 0; index < services; ++index) {
        made.subscription.services.emplace("s" + std::to_string(index));
    }
    return made;
}

subscribe subscribe_with(std::size_t digests)
{
    subscribe made;
    made.reply_to = address;
    made.held.resize(digests, {domain, {}});
    return made;
}

domain_hello hello(std::size_t relays, std::size_t others)
{
    domain_hello made;
    made.domain = domain;
    made.sender.address = address;
    made.relays.resize(relays, made.sender);
    made.others.resize(others, {domain, {}});
    return made;
}

domain_summary summary(std::uint32_t part, std::uint32_t parts)
{
    return {domain, base::sequence_number(1), part, parts, {}};
}

const std::string long_name(129, 'x');

INSTANTIATE_TEST_SUITE_P(
    table, membership_bounds,
    testing::Values(
        bound_case{"news", member_update{records(64)}, true},
        bound_case{"too_many_records", member_update{records(65)}, false},
        bound_case{"too_many_synced", sync_records{address, records(65)}, false},
        bound_case{"nameless", member_update{{record("")}}, false},
        bound_case{"long_name", member_update{{record(long_name)}}, false},
        bound_case{"eight_backends", join{record("n", 8), true, false}, true},
        bound_case{"nine_backends", join{record("n", 9), true, false}, false},
        bound_case{"negative_slots", join{with_slots(-1), true, false}, false},
        bound_case{"huge_incarnation", join{record("n", 1, ~std::uint64_t{0}), true, false}, false},
        bound_case{"probe_without_address", probe{}, false},
        bound_case{"vote_without_subject",
                   observer_vote{base::node_id(), {}, observer_verdict::confirms, address}, false},
        bound_case{"request_without_address", sync_request{}, false},
        bound_case{"hello", hello(4, 32), true}, bound_case{"too_many_relays", hello(5, 0), false},
        bound_case{"too_many_domains", hello(0, 33), false},
        bound_case{"last_part", summary(31, 32), true},
        bound_case{"part_beyond_end", summary(1, 1), false},
        bound_case{"no_parts", summary(0, 0), false},
        bound_case{"too_many_parts", summary(0, 33), false},
        bound_case{"subscription", subscribe_to(1'024), true},
        bound_case{"too_many_services", subscribe_to(1'025), false},
        bound_case{"too_many_digests", subscribe_with(33), false},
        bound_case{"too_many_states",
                   domain_states{false, std::vector<domain_state>(33, {{domain, {}}, {}})}, false}),
    [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::membership
