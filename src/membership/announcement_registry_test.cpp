#include "membership/announcement_registry.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <string>

namespace damaskladder::membership {
namespace {

using namespace std::chrono_literals;

announcement offer(const std::string& service, std::uint16_t port = 9000)
{
    return {base::service_id(service),
            base::port_number(port),
            base::slot_count(40),
            connection_count(330),
            false,
            credential_text("orders-secret")};
}

announcement_options options()
{
    announcement_options made;
    made.may_announce = [](const credential_text& credential, const base::service_id& service) {
        return credential.value() == service.value() + "-secret";
    };
    made.limits.backends_per_node = 2;
    return made;
}

struct lease_case {
    std::string name;
    std::function<announce_verdict(announcement_registry&, base::time_point)> act;
    announce_verdict verdict;
    /// State right after, and 2 s after a first announcement at time 0 would have ended.
    std::size_t announced;
    bool draining;
};

class announcement_steps : public testing::TestWithParam<lease_case> {};

announcement changed(announcement made, const std::function<void(announcement&)>& change)
{
    change(made);
    return made;
}

// Guards against announcements that the credential does not permit, and against renewals that reset
// state.
TEST_P(announcement_steps, after_one_announcement)
{
    announcement_registry leases(options());
    const base::time_point begin{};
    ASSERT_EQ(leases.announce(offer("orders"), begin), announce_verdict::accepted);
    EXPECT_EQ(GetParam().act(leases, begin + 2s), GetParam().verdict);
    ASSERT_EQ(leases.backends().size(), GetParam().announced);
    if (GetParam().announced > 0) {
        EXPECT_EQ(leases.backends().front().draining, GetParam().draining);
    }
}

const base::service_id orders("orders");
const base::port_number port(9000);
const credential_text secret("orders-secret");
const credential_text wrong("wrong");

INSTANTIATE_TEST_SUITE_P(
    table, announcement_steps,
    testing::Values(
        lease_case{"renew", [](auto& l, auto now) { return l.announce(offer("orders"), now); },
                   announce_verdict::accepted, 1, false},
        lease_case{"second_port",
                   [](auto& l, auto now) { return l.announce(offer("orders", 1), now); },
                   announce_verdict::accepted, 2, false},
        lease_case{"other_service",
                   [](auto& l, auto now) { return l.announce(offer("advice"), now); },
                   announce_verdict::not_permitted, 1, false},
        lease_case{"no_port", [](auto& l, auto now) { return l.announce(offer("orders", 0), now); },
                   announce_verdict::invalid, 1, false},
        lease_case{"no_slots",
                   [](auto& l, auto now) {
                       return l.announce(
                           changed(offer("orders"), [](auto& o) { o.slots = base::slot_count(0); }),
                           now);
                   },
                   announce_verdict::invalid, 1, false},
        lease_case{"long_name",
                   [](auto& l, auto now) { return l.announce(offer(std::string(129, 'x')), now); },
                   announce_verdict::invalid, 1, false},
        lease_case{"too_many",
                   [](auto& l, auto now) {
                       l.announce(offer("orders", 1), now);
                       return l.announce(offer("orders", 2), now);
                   },
                   announce_verdict::too_many, 2, false},
        lease_case{"withdraw", [](auto& l, auto) { return l.withdraw(orders, port, secret); },
                   announce_verdict::accepted, 0, false},
        lease_case{"withdraw_wrong", [](auto& l, auto) { return l.withdraw(orders, port, wrong); },
                   announce_verdict::not_permitted, 1, false},
        lease_case{"drain", [](auto& l, auto) { return l.drain(orders, port, secret); },
                   announce_verdict::accepted, 1, true},
        lease_case{"drain_wrong", [](auto& l, auto) { return l.drain(orders, port, wrong); },
                   announce_verdict::not_permitted, 1, false},
        lease_case{"drain_unknown",
                   [](auto& l, auto) { return l.drain(orders, base::port_number(1), secret); },
                   announce_verdict::unknown, 1, false},
        lease_case{"renew_while_draining",
                   [](auto& l, auto now) {
                       l.drain(orders, port, secret);
                       return l.announce(offer("orders"), now);
                   },
                   announce_verdict::accepted, 1, true},
        lease_case{"announce_after_lease_ended_draining",
                   [](auto& l, auto now) {
                       l.drain(orders, port, secret);
                       return l.announce(offer("orders"), now + 1s);
                   },
                   announce_verdict::accepted, 1, false}),
    [](const auto& tested) { return tested.param.name; });

struct cold_case {
    std::string name;
    bool cold;
    base::duration cold_left;
    /// Time after the announcement at which the server becomes warm.
    base::duration warm_after;
};

class cold_announcements : public testing::TestWithParam<cold_case> {};

// Guards against a server that counts as warm before its cold time has passed, and against one that
// the fleet takes for cold until its next announcement.
TEST_P(cold_announcements, last_for_the_cold_time)
{
    const auto& row = GetParam();
    announcement_registry leases(options());
    const auto begin = base::time_point(10s);
    auto cold = offer("orders");
    cold.cold = row.cold;
    cold.cold_left = row.cold_left;
    leases.announce(cold, begin);
    const auto announced = leases.announced().front();
    EXPECT_EQ(announced.announced_at, begin);
    EXPECT_EQ(announced.cold_until, begin + row.warm_after);
    EXPECT_EQ(announced.backend.cold, row.warm_after > 0s);
    if (row.warm_after > 0s && row.warm_after < 3s) {
        EXPECT_FALSE(leases.expire(announced.cold_until - 1us));
        EXPECT_TRUE(leases.expire(announced.cold_until));
        EXPECT_FALSE(leases.backends().front().cold);
    }
}

INSTANTIATE_TEST_SUITE_P(table, cold_announcements,
                         testing::Values(cold_case{"warm", false, 0s, 0s},
                                         cold_case{"short", true, 1500ms, 1500ms},
                                         cold_case{"longer_than_the_lease", true, 20s, 20s},
                                         cold_case{"time_unknown", true, 0s, 3s}),
                         [](const auto& tested) { return tested.param.name; });

// Guards against leases that expire too early or too late.
TEST(announcement_registry, ends_exactly_after_the_lease)
{
    announcement_registry leases(options());
    const base::time_point begin{};
    leases.announce(offer("orders"), begin);
    EXPECT_FALSE(leases.expire(begin + 3s - 1us));
    EXPECT_TRUE(leases.expire(begin + 3s));
    EXPECT_TRUE(leases.backends().empty());
}

} // namespace
} // namespace damaskladder::membership
