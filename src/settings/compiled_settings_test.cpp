#include "settings/compiled_settings.hpp"
#include "settings/ini_reader.hpp"
#include "settings/sample_settings_test.hpp"
#include "settings/value_parsers.hpp"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace damaskladder::settings {
namespace {

std::shared_ptr<const compiled_settings> compiled_sample()
{
    auto tree = read_ini(sample_settings(), "x.ini").tree;
    tree.set_version(base::settings_version(7));
    return compiled_settings::compile(tree);
}

struct match_case {
    const char* path;
    /// Empty if no route matches.
    const char* route;
};

class route_match : public testing::TestWithParam<match_case> {};

// Guards against a request that is sent to a route other than the one whose key was checked.
TEST_P(route_match, takes_the_longest_prefix_of_whole_parts)
{
    auto compiled = compiled_sample();
    const auto* route = compiled->match_route(GetParam().path);
    EXPECT_EQ(route == nullptr ? "" : route->id.value(), GetParam().route);
}

constexpr const char* pay = "teams/grants/routes/pay";
constexpr const char* calendar = "teams/fairs/routes/calendar";

INSTANTIATE_TEST_SUITE_P(
    table, route_match,
    testing::Values(
        match_case{"/payments", pay}, match_case{"/payments/", pay},
        match_case{"/payments/1/2", pay}, match_case{"/payments//x", pay},
        match_case{"/payments/calendar", calendar}, match_case{"/payments/calendar/x", calendar},
        match_case{"/payments/calendars", pay}, match_case{"/paymentsx", ""}, match_case{"/", ""},
        match_case{"", ""}, match_case{"payments", ""}, match_case{"/payments/calendar/..", ""},
        match_case{"/payments/calendar/../1", ""}, match_case{"/payments/calendar/%2e%2E/1", ""},
        match_case{"/payments/calendar/.%2e", ""}, match_case{"/payments/calendar/.", ""},
        match_case{"/payments/calendar/%2f..%2f1", ""}, match_case{"/payments/calendar\\..\\1", ""},
        match_case{"/payments/calendar/...", calendar}));

struct cold_case {
    const char* fields;
    const char* service;
    std::optional<std::int64_t> rate;
    std::int64_t burst;
};

class cold_settings : public testing::TestWithParam<cold_case> {};

// Guards against a cold backend server without a limit, or with one that nobody has set.
TEST_P(cold_settings, apply_to_the_named_service)
{
    const auto& row = GetParam();
    const auto tree = read_ini(std::string("[teams/t/services/s]\n") + row.fields, "x.ini").tree;
    const auto compiled = compiled_settings::compile(tree);
    const auto* found = compiled->find_service(base::service_id(row.service));
    const auto rate = found == nullptr ? std::nullopt : found->cold_rate;
    ASSERT_EQ(rate.has_value(), row.rate.has_value());
    if (rate) {
        EXPECT_EQ(rate->value(), *row.rate);
        EXPECT_EQ(found->cold_burst, base::request_count(row.burst));
    }
}

INSTANTIATE_TEST_SUITE_P(
    table, cold_settings,
    testing::Values(cold_case{"cold_rate = 9.6/s\ncold_burst = 22\n", "s", 9'600, 22},
                    cold_case{"cold_rate = 9.6/s\n", "s", 9'600, 9},
                    cold_case{"cold_rate = 0.2/s\n", "s", 200, 1},
                    cold_case{"cold_burst = 22\n", "s", std::nullopt, 0},
                    cold_case{"cold_rate = 9.6/s\n", "other", std::nullopt, 0}));

struct slash_case {
    const char* path;
    /// Prefix of the route; null if no route matches.
    const char* prefix;
};

class slash_match : public testing::TestWithParam<slash_case> {};

// Guards against a request that is run by the service of a longer prefix because the final slash of
// that prefix does not count.
TEST_P(slash_match, needs_the_final_slash_of_a_prefix)
{
    setting_tree tree;
    int routes = 0;
    for (const char* prefix : {"/shop/", "/shop/orders/", "/fair", "/fair/", "/files/new/"}) {
        const auto route = *setting_path::parse("teams/t/routes/r" + std::to_string(++routes));
        tree.set(route, field_name("prefix"), field_value(prefix));
        tree.set(route, field_name("service"), field_value("s"));
    }
    const auto compiled = compiled_settings::compile(tree);
    const auto* route = compiled->match_route(GetParam().path);
    ASSERT_EQ(route != nullptr, GetParam().prefix != nullptr);
    EXPECT_TRUE(route == nullptr || route->prefix.value() == GetParam().prefix);
}

INSTANTIATE_TEST_SUITE_P(
    table, slash_match,
    testing::Values(slash_case{"/shop/orders", "/shop/"},
                    slash_case{"/shop/orders/", "/shop/orders/"},
                    slash_case{"/shop/orders/7", "/shop/orders/"},
                    slash_case{"/shop/ordersx", "/shop/"}, slash_case{"/shop/", "/shop/"},
                    slash_case{"/shop", nullptr}, slash_case{"/shop//orders/", "/shop/"},
                    slash_case{"/fair", "/fair"}, slash_case{"/fair/", "/fair/"},
                    slash_case{"/fair/1", "/fair/"}, slash_case{"/fairs", nullptr},
                    slash_case{"/files/new", nullptr}, slash_case{"/", nullptr}));

// Guards against values that lose their unit in the compilation.
TEST(compiled_settings, holds_typed_values)
{
    auto compiled = compiled_sample();
    EXPECT_EQ(compiled->version(), base::settings_version(7));
    const auto* route = compiled->find_route(base::route_id(pay));
    ASSERT_NE(route, nullptr);
    EXPECT_EQ(route->timeout, std::chrono::milliseconds(500));
    EXPECT_EQ(route->max_body, base::byte_count(65'536));
    EXPECT_EQ(route->retries, base::retry_count(3));
    EXPECT_TRUE(route->allows(base::workspace_id("w2")));
    EXPECT_FALSE(route->allows(base::workspace_id("w3")));
    const auto* workspace = compiled->find_workspace(base::workspace_id("w2"));
    ASSERT_NE(workspace, nullptr);
    EXPECT_EQ(workspace->rate, token_rate(500));
    EXPECT_EQ(workspace->weight, base::share_weight(3));
    const auto* key = compiled->find_key(*parse_key_hash(std::string(64, 'a')));
    ASSERT_NE(key, nullptr);
    EXPECT_EQ(key->workspace, base::workspace_id("w1"));
    EXPECT_EQ(key, compiled->find_key(base::key_id("k1")));
    EXPECT_EQ(compiled->find_key(*parse_key_hash(std::string(64, 'b'))), nullptr);
    EXPECT_EQ(compiled->limits_of(base::team_id("fairs")).max_staleness, std::chrono::seconds(60));
    EXPECT_EQ(compiled->limits_of(base::team_id("grants")).max_staleness, std::chrono::seconds(10));
    EXPECT_EQ(compiled->policy_of(base::team_id("fairs")), policy_revision(2));
    EXPECT_EQ(compiled->policy_of(base::team_id("grants")), first_policy_revision);
    const auto* domain = compiled->find_domain(base::failure_domain_id("fd2"));
    ASSERT_NE(domain, nullptr);
    EXPECT_EQ(domain->share, (domain_share{1, 2}));
    EXPECT_EQ(domain->lease_voters, std::vector{base::node_id("n4")});
}

struct evacuation_case {
    const char* name;
    const char* active;
    bool evacuated;
};

class evacuation_entry : public testing::TestWithParam<evacuation_case> {};

// Guards against a node that evacuates a domain without an order in force, or ignores the order.
TEST_P(evacuation_entry, names_evacuated_domains)
{
    setting_tree tree;
    if (GetParam().active != nullptr) {
        tree.set(*setting_path::parse("fleet/evacuations/fd1"), field_name("active"),
                 field_value(GetParam().active));
    }
    const auto compiled = compiled_settings::compile(tree);
    EXPECT_EQ(compiled->is_evacuated(base::failure_domain_id("fd1")), GetParam().evacuated);
    EXPECT_FALSE(compiled->is_evacuated(base::failure_domain_id("fd2")));
}

INSTANTIATE_TEST_SUITE_P(table, evacuation_entry,
                         testing::Values(evacuation_case{"ordered", "yes", true},
                                         evacuation_case{"not_in_force", "no", false},
                                         evacuation_case{"no_entry", nullptr, false}),
                         [](const auto& test) { return test.param.name; });

std::string random_path(std::mt19937_64& random)
{
    std::string path;
    auto parts = 1 + random() % 4;
    for (std::size_t i = 0; i < parts; ++i) {
        path += "/" + std::string(1 + random() % 2, static_cast<char>('a' + random() % 2));
    }
    return path;
}

// Guards against errors in the hash lookup of prefixes: compares it with a linear scan, for 200
// trees and 20 request paths each.
TEST(compiled_settings, matches_like_a_scan_of_all_prefixes)
{
    std::mt19937_64 random(5);
    for (int round = 0; round < 200; ++round) {
        setting_tree tree;
        for (int i = 0; i < 15; ++i) {
            auto path = *setting_path::parse("teams/t/routes/r" + std::to_string(i));
            auto prefix =
                i == 0 ? std::string("/") : random_path(random) + (random() % 2 == 0 ? "/" : "");
            tree.set(path, field_name("prefix"), field_value(prefix));
            tree.set(path, field_name("service"), field_value("s"));
        }
        auto compiled = compiled_settings::compile(tree);
        for (int i = 0; i < 20; ++i) {
            auto path = random_path(random) + (random() % 2 == 0 ? "/" : "");
            std::string longest_match = "/";
            for (const auto& route : compiled->routes()) {
                const auto& prefix = route.prefix.value();
                bool matches = path == prefix ||
                               path.starts_with(prefix.ends_with('/') ? prefix : prefix + "/");
                longest_match =
                    matches && prefix.size() > longest_match.size() ? prefix : longest_match;
            }
            ASSERT_EQ(compiled->match_route(path)->prefix.value(), longest_match) << path;
        }
    }
}

} // namespace
} // namespace damaskladder::settings
