#include "routing/router.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

namespace damaskladder::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

base::time_point at_ms(std::int64_t value)
{
    return base::time_point(milliseconds(value));
}

router_options seeded(std::uint64_t seed)
{
    router_options options;
    options.random = [random = std::mt19937_64(seed)]() mutable { return random(); };
    return options;
}

backend_server server_of(const std::string& node, const std::string& domain,
                         std::int64_t reported = 0, bool draining = false)
{
    return {base::node_id(node),  base::incarnation(1),       base::failure_domain_id(domain),
            base::slot_count(40), base::slot_count(reported), draining};
}

choice_request from_domain(const std::string& domain)
{
    return {base::failure_domain_id(domain), {}, true, base::importance::background};
}

struct selection_case {
    const char* name;
    std::vector<backend_server> servers;
    std::vector<base::node_id> excluded;
    /// Exact set of nodes that 200 calls of choose() must return.
    std::set<std::string> chosen;
};

void PrintTo(const selection_case& row, std::ostream* out)
{
    *out << row.name;
}

class selections : public testing::TestWithParam<selection_case> {};

// Guards against calls to draining servers, and against leaving the own failure domain while it has
// capacity.
TEST_P(selections, use_only_eligible_servers)
{
    const auto& row = GetParam();
    router chooser(seeded(1));
    std::set<std::string> chosen;
    auto request = from_domain("a");
    request.excluded = row.excluded;
    for (int n = 0; n < 200; ++n) {
        if (auto node = chooser.choose(row.servers, request, at_ms(n))) {
            chosen.insert(node->value());
            chooser.on_attempt_ended(*node, base::importance::background, attempt_result::answered,
                                     at_ms(n));
        }
    }
    EXPECT_EQ(chosen, row.chosen);
}

INSTANTIATE_TEST_SUITE_P(
    table, selections,
    testing::Values(
        selection_case{"none announced", {}, {}, {}},
        selection_case{"own domain", {server_of("1", "a"), server_of("2", "b")}, {}, {"1"}},
        selection_case{
            "both in own domain", {server_of("1", "a"), server_of("2", "a")}, {}, {"1", "2"}},
        selection_case{
            "own domain is full", {server_of("1", "a", 38), server_of("2", "b")}, {}, {"2"}},
        selection_case{
            "all are full", {server_of("1", "a", 40), server_of("2", "b", 40)}, {}, {"1", "2"}},
        selection_case{"draining", {server_of("1", "a", 0, true), server_of("2", "b")}, {}, {"2"}},
        selection_case{"all drain", {server_of("1", "a", 0, true)}, {}, {}},
        selection_case{
            "excluded", {server_of("1", "a"), server_of("2", "b")}, {base::node_id("1")}, {"2"}}));

struct ejection_case {
    const char* name;
    int servers;
    /// Number of servers, from the first, on which every attempt ends with `result`; the others
    /// answer.
    int faulty;
    attempt_result result;
    int ejected;
    /// Maximum fraction of the late attempts that goes to faulty servers.
    double max_fraction_on_faulty;
};

void PrintTo(const ejection_case& row, std::ostream* out)
{
    *out << row.name;
}

class ejections : public testing::TestWithParam<ejection_case> {};

// Guards against a server that fails although it reports itself healthy, and against ejections that
// leave a service without servers.
TEST_P(ejections, leave_enough_servers)
{
    const auto& row = GetParam();
    std::vector<backend_server> servers;
    servers.reserve(static_cast<std::size_t>(row.servers));
    for (int n = 0; n < row.servers; ++n) {
        servers.push_back(server_of(std::to_string(n), "a"));
    }
    router chooser(seeded(7));
    int late = 0;
    int late_on_faulty = 0;
    for (int n = 0; n < 4'000; ++n) {
        const auto now = at_ms(n);
        const auto node = chooser.choose(servers, from_domain("a"), now);
        ASSERT_TRUE(node) << "all servers of the service were excluded";
        const bool is_faulty = std::stoi(node->value()) < row.faulty;
        chooser.on_attempt_ended(*node, base::importance::background,
                                 is_faulty ? row.result : attempt_result::answered, now);
        late += n >= 2'000 ? 1 : 0;
        late_on_faulty += n >= 2'000 && is_faulty ? 1 : 0;
    }
    int ejected = 0;
    for (const auto& server : servers) {
        ejected += chooser.is_ejected(server.node) ? 1 : 0;
    }
    EXPECT_EQ(ejected, row.ejected);
    EXPECT_LE(late_on_faulty, row.max_fraction_on_faulty * late);
}

INSTANTIATE_TEST_SUITE_P(
    table, ejections,
    testing::Values(
        ejection_case{"one fails", 3, 1, attempt_result::failed, 1, 0.01},
        ejection_case{"one hangs", 3, 1, attempt_result::timed_out, 1, 0.01},
        ejection_case{"one is unreachable", 2, 1, attempt_result::unreachable, 1, 0.01},
        ejection_case{"two of three fail", 3, 2, attempt_result::failed, 2, 0.05},
        // The cause is a shared dependency, for example a service that all of them call.
        ejection_case{"all fail", 3, 3, attempt_result::failed, 0, 1.0},
        ejection_case{"shedding is no failure", 3, 1, attempt_result::shed, 0, 1.0},
        ejection_case{"one alone", 1, 1, attempt_result::failed, 1, 1.0}));

struct report_case {
    const char* name;
    /// Load reports from the own and from another failure domain, and their age.
    std::optional<load_report> own;
    std::optional<load_report> other;
    std::int64_t age_ms;
    /// Bounds of the fraction of 200 choices that goes to the own failure domain.
    double min_own_fraction;
    double max_own_fraction;
};

void PrintTo(const report_case& row, std::ostream* out)
{
    *out << row.name;
}

class reports : public testing::TestWithParam<report_case> {};

load_report busy_of_40(std::int64_t busy)
{
    return {base::slot_count(busy), base::slot_count(40)};
}

// Guards against many entry nodes sending a surge to the nearest server while each sees only its
// own small share of the load: that server sheds while other servers of the service are idle (slow
// server of a zone).
TEST_P(reports, select_server_with_capacity)
{
    const auto& row = GetParam();
    const std::vector<backend_server> servers{server_of("own", "a"), server_of("other", "b")};
    router chooser(seeded(5));
    int own = 0;
    for (int n = 0; n < 200; ++n) {
        const auto now = at_ms(1000 * n);
        const auto first = chooser.choose(servers, from_domain("a"), now);
        chooser.on_attempt_ended(*first, base::importance::background, attempt_result::answered,
                                 now);
        if (row.own) {
            chooser.on_load_report(base::node_id("own"), *row.own, now);
        }
        if (row.other) {
            chooser.on_load_report(base::node_id("other"), *row.other, now);
        }
        const auto later = now + milliseconds(row.age_ms);
        const auto chosen = chooser.choose(servers, from_domain("a"), later);
        own += chosen->value() == "own" ? 1 : 0;
        chooser.on_attempt_ended(*chosen, base::importance::background, attempt_result::answered,
                                 later);
    }
    EXPECT_GE(own, row.min_own_fraction * 200);
    EXPECT_LE(own, row.max_own_fraction * 200);
}

INSTANTIATE_TEST_SUITE_P(
    table, reports,
    testing::Values(report_case{"none", std::nullopt, std::nullopt, 0, 1, 1},
                    report_case{"own has room", busy_of_40(20), busy_of_40(0), 0, 1, 1},
                    report_case{"own is full", busy_of_40(39), busy_of_40(5), 0, 0, 0},
                    report_case{"own is fuller", busy_of_40(60), busy_of_40(38), 0, 0, 0},
                    report_case{"both are full, own less", busy_of_40(38), busy_of_40(60), 0, 1, 1},
                    report_case{"old report", busy_of_40(60), busy_of_40(0), 600, 1, 1}));

// Guards against a recovered server that gets its full load share immediately.
TEST(router, recovered_server_gets_slow_start)
{
    const std::vector<backend_server> servers{server_of("bad", "a"), server_of("1", "a"),
                                              server_of("2", "a")};
    router chooser(seeded(3));
    std::vector<base::node_id> running;
    std::map<std::int64_t, int> on_recovered;
    for (std::int64_t n = 0; n < 6'000; ++n) {
        const auto node = *chooser.choose(servers, from_domain("a"), at_ms(n));
        const bool fails = node == servers.front().node && n < 1'000;
        if (fails) {
            chooser.on_attempt_ended(node, base::importance::background, attempt_result::failed,
                                     at_ms(n));
            continue;
        }
        on_recovered[n / 500] += node == servers.front().node ? 1 : 0;
        running.push_back(node);
        if (running.size() > 30) {
            chooser.on_attempt_ended(running.front(), base::importance::background,
                                     attempt_result::answered, at_ms(n));
            running.erase(running.begin());
        }
    }
    int first_on = 0;
    while (on_recovered[first_on] == 0) {
        ++first_on;
    }
    EXPECT_LT(on_recovered[first_on], 60);
    EXPECT_GT(on_recovered[11], 120);
}

// Guards against further attempts at a server whose gatekeeper reported draining, and against
// excluding it after it was announced with a new incarnation.
TEST(router, draining_server_is_excluded_until_next_incarnation)
{
    std::vector<backend_server> servers{server_of("1", "a")};
    router chooser(seeded(3));
    EXPECT_EQ(chooser.choose(servers, from_domain("a"), at_ms(0)), base::node_id("1"));
    chooser.on_attempt_ended(base::node_id("1"), base::importance::background,
                             attempt_result::draining, at_ms(1));
    EXPECT_EQ(chooser.choose(servers, from_domain("a"), at_ms(2)), std::nullopt);
    servers.front().incarnation = base::incarnation(2);
    EXPECT_EQ(chooser.choose(servers, from_domain("a"), at_ms(3)), base::node_id("1"));
}

struct exclusion_case {
    const char* name;
    std::vector<attempt_result> results;
    std::int64_t excluded_ms;
};

void PrintTo(const exclusion_case& row, std::ostream* out)
{
    *out << row.name;
}

class exclusions : public testing::TestWithParam<exclusion_case> {};

// Guards against attempts at an evacuated server, and against leaving it without calls long after
// the evacuation has ended.
TEST_P(exclusions, last_as_long_as_their_reason)
{
    const std::vector<backend_server> servers{server_of("1", "a")};
    router chooser(seeded(3));
    for (const auto result : GetParam().results) {
        chooser.choose(servers, from_domain("a"), at_ms(0));
        chooser.on_attempt_ended(base::node_id("1"), base::importance::background, result,
                                 at_ms(0));
    }
    EXPECT_EQ(chooser.choose(servers, from_domain("a"), at_ms(GetParam().excluded_ms - 1)),
              std::nullopt);
    EXPECT_EQ(chooser.choose(servers, from_domain("a"), at_ms(GetParam().excluded_ms)),
              base::node_id("1"));
}

INSTANTIATE_TEST_SUITE_P(
    table, exclusions,
    testing::Values(exclusion_case{"evacuated", {attempt_result::evacuated}, 500},
                    exclusion_case{"draining", {attempt_result::draining}, 5'000},
                    exclusion_case{"evacuated_after_draining",
                                   {attempt_result::draining, attempt_result::evacuated},
                                   5'000}));

// Guards against sending all important requests to one server because others have long queues of
// less important ones, which would not delay them.
TEST(router, less_important_calls_do_not_count_as_load)
{
    const std::vector<backend_server> servers{server_of("1", "a"), server_of("2", "a")};
    router chooser(seeded(3));
    auto low = from_domain("a");
    low.importance = base::importance::low;
    low.excluded = {base::node_id("2")};
    for (int n = 0; n < 100; ++n) {
        chooser.choose(servers, low, at_ms(0));
    }
    auto critical = from_domain("a");
    critical.importance = base::importance::critical;
    std::map<std::string, int> chosen;
    for (int n = 0; n < 100; ++n) {
        ++chosen[chooser.choose(servers, critical, at_ms(0))->value()];
    }
    EXPECT_NEAR(chosen["1"], 50, 1);
}

// Guards against many entry nodes that all repeat their attempts at a limited server, and against
// critical requests that are kept from it because a less important one was refused.
TEST(router, limited_cold_server_is_excluded_for_requests_of_at_most_this_importance)
{
    std::vector<backend_server> servers{server_of("1", "a")};
    servers.front().cold = true;
    router chooser(seeded(3));
    auto request = from_domain("a");
    request.importance = base::importance::normal;
    ASSERT_TRUE(chooser.choose(servers, request, at_ms(0)));
    chooser.on_attempt_ended(base::node_id("1"), request.importance, attempt_result::limited,
                             at_ms(0));
    EXPECT_FALSE(chooser.choose(servers, request, at_ms(999)));
    request.importance = base::importance::low;
    EXPECT_FALSE(chooser.choose(servers, request, at_ms(999)));
    EXPECT_TRUE(chooser.is_limited(base::node_id("1"), request.importance, at_ms(999)));
    EXPECT_TRUE(chooser.choose(servers, request, at_ms(1'000)));
    request.importance = base::importance::critical;
    EXPECT_TRUE(chooser.choose(servers, request, at_ms(1)));
}

// Guards against a warm server that names its rate and gets nothing for a second after a refusal.
TEST(router, limited_warm_server_stays_eligible)
{
    const std::vector<backend_server> servers{server_of("1", "a")};
    router chooser(seeded(3));
    const auto request = from_domain("a");
    ASSERT_TRUE(chooser.choose(servers, request, at_ms(0)));
    chooser.on_attempt_ended(base::node_id("1"), request.importance, attempt_result::limited,
                             at_ms(0));
    EXPECT_TRUE(chooser.choose(servers, request, at_ms(1)));
}

// Guards against a cold server that gets all requests of its failure domain, or none at all.
TEST(router, cold_server_gets_a_small_part)
{
    std::vector<backend_server> servers{server_of("cold", "a"), server_of("1", "b"),
                                        server_of("2", "b")};
    servers.front().cold = true;
    router chooser(seeded(3));
    int on_cold = 0;
    for (int n = 0; n < 60; ++n) {
        on_cold += chooser.choose(servers, from_domain("a"), at_ms(n)) == servers.front().node;
    }
    EXPECT_GE(on_cold, 3);
    EXPECT_LE(on_cold, 12);
}

// Guards against probing an ejected server with a request that must not run twice.
TEST(router, non_idempotent_requests_are_not_used_as_probes)
{
    const std::vector<backend_server> servers{server_of("1", "a"), server_of("2", "a")};
    router chooser(seeded(3));
    auto request = from_domain("a");
    for (int n = 0; n < 50; ++n) {
        const auto node = *chooser.choose(servers, request, at_ms(n));
        const bool is_faulty = node == servers.front().node;
        chooser.on_attempt_ended(node, base::importance::background,
                                 is_faulty ? attempt_result::unreachable : attempt_result::answered,
                                 at_ms(n));
    }
    ASSERT_TRUE(chooser.is_ejected(servers.front().node));
    request.may_probe = false;
    for (int n = 0; n < 100; ++n) {
        const auto node = chooser.choose(servers, request, at_ms(20'000 + n));
        EXPECT_EQ(node, servers.back().node);
        chooser.on_attempt_ended(*node, base::importance::background, attempt_result::answered,
                                 at_ms(20'000 + n));
    }
}

struct disconnected_case {
    const char* name;
    /// Servers out of "1" to "4" on which every connection attempt fails.
    std::set<std::string> disconnected;
    std::set<std::string> chosen;
};

void PrintTo(const disconnected_case& row, std::ostream* out)
{
    *out << row.name;
}

class disconnected_servers : public testing::TestWithParam<disconnected_case> {};

// Guards against requests that spend their whole deadline on successive connection attempts while a
// failure domain is partitioned. 988 requests of one day were lost this way.
TEST_P(disconnected_servers, are_excluded_regardless_of_count)
{
    router chooser(seeded(3));
    const std::vector<backend_server> servers = {server_of("1", "a"), server_of("2", "b"),
                                                 server_of("3", "b"), server_of("4", "b")};
    auto request = from_domain("a");
    request.may_probe = false;
    std::set<std::string> chosen;
    for (int n = 0; n < 400; ++n) {
        const auto node = chooser.choose(servers, request, at_ms(n));
        ASSERT_TRUE(node);
        const bool is_disconnected = GetParam().disconnected.count(node->value()) != 0;
        chooser.on_attempt_ended(
            *node, base::importance::background,
            is_disconnected ? attempt_result::unreachable : attempt_result::answered, at_ms(n));
        if (n >= 200) {
            chosen.insert(node->value());
        }
    }
    EXPECT_EQ(chosen, GetParam().chosen);
}

INSTANTIATE_TEST_SUITE_P(table, disconnected_servers,
                         testing::Values(disconnected_case{"own domain", {"1"}, {"2", "3", "4"}},
                                         disconnected_case{"all but one", {"1", "2", "4"}, {"3"}},
                                         disconnected_case{
                                             "all", {"1", "2", "3", "4"}, {"1", "2", "3", "4"}}));

} // namespace
} // namespace damaskladder::routing
