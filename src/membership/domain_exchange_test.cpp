#include "membership/fake_fleet_test.hpp"

#include <gtest/gtest.h>

#include <set>

namespace damaskladder::membership {
namespace {

constexpr std::size_t domain_size = 8;

std::size_t domain_of(const base::node_id& name)
{
    return static_cast<std::size_t>(std::stoul(name.value().substr(1))) / 100;
}

/// Starts three failure domains of eight nodes each: n0000.., n0100.., n0200... In each, half of
/// the nodes announce the service advice and half orders; all subscribe to advice only. One node of
/// each failure domain is a seed.
void start_three_domains(fake_fleet& fleet)
{
    for (std::size_t domain = 0; domain < 3; ++domain) {
        fleet.options.seeds.emplace_back(node_name(100 * domain + 5).value() + ":1");
    }
    for (std::size_t domain = 0; domain < 3; ++domain) {
        for (std::size_t index = 0; index < domain_size; ++index) {
            const base::node_id name = node_name(100 * domain + index);
            fleet.start(name, "d" + std::to_string(domain), 100);
            fleet.announce(name, index % 2 == 0 ? "advice" : "orders");
            fleet.set_subscription(name, {"advice"});
        }
    }
}

const std::vector<service_endpoint>& endpoints_at(fake_fleet& fleet, const base::node_id& at,
                                                  const std::string& service = "advice")
{
    return fleet.at(at).view()->endpoints(base::service_id(service));
}

/// Number of entries of a failure domain in a node's view, optionally only the reachable ones.
std::size_t entries(fake_fleet& fleet, const base::node_id& at, std::size_t domain,
                    bool reachable_only)
{
    std::size_t count = 0;
    for (const service_endpoint& one : endpoints_at(fleet, at)) {
        const bool counts = !reachable_only || one.reach == reachability::reachable;
        count += domain_of(one.node) == domain && counts ? 1 : 0;
    }
    return count;
}

/// True if the reachable entries for advice in the view of every running node are exactly the
/// running nodes that announce advice, with their current incarnations.
bool complete(fake_fleet& fleet)
{
    std::map<base::node_id, base::incarnation> expected;
    for (const base::node_id& name : fleet.names()) {
        if (fleet.running(name) &&
            fleet.at(name).self().backends.front().service.value() == "advice") {
            expected[name] = fleet.at(name).self().incarnation;
        }
    }
    for (const base::node_id& name : fleet.names()) {
        if (!fleet.running(name)) {
            continue;
        }
        std::map<base::node_id, base::incarnation> found;
        for (const service_endpoint& one : endpoints_at(fleet, name)) {
            if (one.reach == reachability::reachable) {
                found[one.node] = one.incarnation;
            }
        }
        if (found != expected) {
            return false;
        }
    }
    return true;
}

struct domain_case {
    std::string name;
    std::function<void(fake_fleet&)> inject_fault;
    base::duration completion_limit;
};

class domain_faults : public testing::TestWithParam<domain_case> {};

// Guards against views that stay incorrect after a fault between or within failure domains.
TEST_P(domain_faults, end_in_complete_views)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        fake_fleet fleet(seed);
        start_three_domains(fleet);
        fleet.run_until([&] { return complete(fleet); }, 15s);
        ASSERT_TRUE(complete(fleet)) << "before the fault, seed " << seed;
        GetParam().inject_fault(fleet);
        fleet.run_until([&] { return complete(fleet); }, GetParam().completion_limit);
        EXPECT_TRUE(complete(fleet)) << "seed " << seed;
        fleet.run(10s);
        EXPECT_TRUE(complete(fleet)) << "10 s later, seed " << seed;
    }
}

void kill_domain(fake_fleet& fleet, std::size_t domain)
{
    for (std::size_t index = 0; index < domain_size; ++index) {
        fleet.kill(node_name(100 * domain + index));
    }
}

void restart_domain(fake_fleet& fleet, std::size_t domain, std::uint64_t incarnation)
{
    for (std::size_t index = 0; index < domain_size; ++index) {
        const base::node_id name = node_name(100 * domain + index);
        fleet.start(name, "d" + std::to_string(domain), incarnation);
        fleet.announce(name, index % 2 == 0 ? "advice" : "orders");
        fleet.set_subscription(name, {"advice"});
    }
}

INSTANTIATE_TEST_SUITE_P(
    table, domain_faults,
    testing::Values(domain_case{"nothing", [](fake_fleet&) {}, 0s},
                    domain_case{"announcement_moves",
                                [](fake_fleet& fleet) {
                                    fleet.announce(node_name(2), "orders");
                                    fleet.announce(node_name(3), "advice");
                                },
                                2s},
                    domain_case{"node_dies", [](fake_fleet& fleet) { fleet.kill(node_name(104)); },
                                3s},
                    domain_case{"both_relays_die",
                                [](fake_fleet& fleet) {
                                    fleet.kill(node_name(0));
                                    fleet.kill(node_name(1));
                                },
                                10s},
                    domain_case{"relay_restarts",
                                [](fake_fleet& fleet) {
                                    fleet.kill(node_name(0));
                                    fleet.run(5s);
                                    fleet.start(node_name(0), "d0", 101);
                                    fleet.announce(node_name(0), "advice");
                                    fleet.set_subscription(node_name(0), {"advice"});
                                },
                                10s},
                    domain_case{"domain_gone_and_back",
                                [](fake_fleet& fleet) {
                                    kill_domain(fleet, 1);
                                    fleet.run(60s);
                                    restart_domain(fleet, 1, 101);
                                },
                                15s},
                    domain_case{"domain_back_with_clock_set_back",
                                [](fake_fleet& fleet) {
                                    kill_domain(fleet, 1);
                                    fleet.run(60s);
                                    restart_domain(fleet, 1, 50);
                                },
                                15s},
                    domain_case{"change_during_cut",
                                [](fake_fleet& fleet) {
                                    fleet.net.cut = [](const base::node_id& a,
                                                       const base::node_id& b) {
                                        return (domain_of(a) == 1) != (domain_of(b) == 1);
                                    };
                                    fleet.run(30s);
                                    fleet.kill(node_name(100));
                                    fleet.kill(node_name(102));
                                    fleet.announce(node_name(103), "advice");
                                    fleet.run(30s);
                                    fleet.net.cut = nullptr;
                                },
                                15s},
                    domain_case{"loss",
                                [](fake_fleet& fleet) {
                                    fleet.net.loss_rate = 0.2;
                                    fleet.announce(node_name(3), "advice");
                                    fleet.kill(node_name(104));
                                    fleet.run(30s);
                                    fleet.net.loss_rate = 0;
                                },
                                10s}),
    [](const auto& tested) { return tested.param.name; });

struct cut_case {
    bool cut_0_1;
    bool cut_0_2;
    bool cut_1_2;
};

class domain_cuts : public testing::TestWithParam<cut_case> {};

// Guards against entries that are removed or stay marked reachable while a failure domain is cut
// off, and against entries that are missing for a while after it is reachable again. Covers each
// combination of cuts among three failure domains.
TEST_P(domain_cuts, keep_entries_and_mark_them)
{
    const cut_case& cuts = GetParam();
    const auto cut = [&](std::size_t a, std::size_t b) {
        const std::size_t sum = a + b;
        return a != b && ((sum == 1 && cuts.cut_0_1) || (sum == 2 && cuts.cut_0_2) ||
                          (sum == 3 && cuts.cut_1_2));
    };
    fake_fleet fleet(3);
    start_three_domains(fleet);
    fleet.run_until([&] { return complete(fleet); }, 15s);
    ASSERT_TRUE(complete(fleet));
    fleet.net.cut = [&](const base::node_id& a, const base::node_id& b) {
        return cut(domain_of(a), domain_of(b));
    };
    const auto expect_entries = [&](bool reachability_known) {
        for (const base::node_id& name : fleet.names()) {
            for (std::size_t domain = 0; domain < 3; ++domain) {
                ASSERT_EQ(entries(fleet, name, domain, false), domain_size / 2);
                const std::size_t reachable = cut(domain_of(name), domain) ? 0 : domain_size / 2;
                if (reachability_known) {
                    ASSERT_EQ(entries(fleet, name, domain, true), reachable) << name << domain;
                }
            }
        }
    };
    for (int second = 0; second < 120; ++second) {
        fleet.run(1s);
        expect_entries(second > 10);
    }
    fleet.net.cut = nullptr;
    for (int second = 0; second < 20; ++second) {
        fleet.run(1s);
        expect_entries(false);
    }
    EXPECT_TRUE(complete(fleet));
}

INSTANTIATE_TEST_SUITE_P(table, domain_cuts,
                         testing::Values(cut_case{false, false, false},
                                         cut_case{false, false, true}, cut_case{false, true, false},
                                         cut_case{false, true, true}, cut_case{true, false, false},
                                         cut_case{true, false, true}, cut_case{true, true, false},
                                         cut_case{true, true, true}));

// Guards against entries that never expire, and against a failure domain that is not rediscovered.
TEST(domain_exchange, drops_expired_entries_and_rediscovers_domain)
{
    fake_fleet fleet(3);
    fleet.options.domains.remove_after = 60s;
    start_three_domains(fleet);
    fleet.run(15s);
    fleet.net.cut = [](const base::node_id& a, const base::node_id& b) {
        return (domain_of(a) == 1) != (domain_of(b) == 1);
    };
    fleet.run(55s);
    EXPECT_EQ(entries(fleet, node_name(7), 1, false), domain_size / 2);
    fleet.run(25s);
    EXPECT_EQ(entries(fleet, node_name(7), 1, false), 0U);
    EXPECT_EQ(entries(fleet, node_name(7), 2, true), domain_size / 2);
    fleet.net.cut = nullptr;
    fleet.run(15s);
    EXPECT_TRUE(complete(fleet));
}

// Guards against full summaries that are sent repeatedly although nothing changed.
TEST(domain_exchange, sends_no_summary_at_rest)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        fake_fleet fleet(seed);
        start_three_domains(fleet);
        fleet.run(20s);
        fleet.summaries = 0;
        fleet.run(60s);
        EXPECT_EQ(fleet.summaries, 0U) << "seed " << seed;
    }
}

// Guards against summaries of services to which no node subscribed.
TEST(domain_exchange, forwards_only_subscribed_services)
{
    fake_fleet fleet(3);
    start_three_domains(fleet);
    fleet.run(15s);
    for (const base::node_id& name : fleet.names()) {
        EXPECT_EQ(endpoints_at(fleet, name, "orders").size(), domain_size / 2)
            << "own failure domain only";
    }
    fleet.set_subscription(node_name(7), {"orders"});
    fleet.run(10s);
    EXPECT_EQ(endpoints_at(fleet, node_name(7), "orders").size(), 3 * domain_size / 2);
    EXPECT_EQ(endpoints_at(fleet, node_name(7), "advice").size(), domain_size / 2);
    EXPECT_EQ(endpoints_at(fleet, node_name(6), "orders").size(), domain_size / 2);
    fleet.set_subscription(node_name(7), {});
    fleet.run(10s);
    EXPECT_EQ(endpoints_at(fleet, node_name(7), "advice").size(), 3 * domain_size / 2);
}

} // namespace
} // namespace damaskladder::membership
