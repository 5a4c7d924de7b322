#include "node/traffic_fixture.hpp"
#include "node/tree_admission.hpp"

#include <gtest/gtest.h>

namespace damaskladder::node {
namespace {

const base::service_id own_service("s");

base::time_point at_ms(std::int64_t value)
{
    return traffic_fixture::at_ms(value);
}

traffic_options options_with(bool enabled)
{
    auto options = traffic_fixture::options();
    options.admit_by_call_tree = enabled;
    return options;
}

struct pressure_case {
    const char* name;
    bool enabled;
    const char* route;
    std::optional<double> pressure;
};

void PrintTo(const pressure_case& row, std::ostream* out)
{
    *out << row.name;
}

class route_pressure : public testing::TestWithParam<pressure_case> {};

// Guards against routes that report the pressure of a service to which they do not lead, and
// against reports without the setting.
TEST_P(route_pressure, is_the_highest_of_its_call_tree)
{
    const auto& row = GetParam();
    const auto options = options_with(row.enabled);
    tree_admission trees(options);
    trees.observe(own_service, routing::load_report{base::slot_count(5), base::slot_count(10)},
                  at_ms(0));
    trees.call_made(base::route_id("upper"), base::route_id("scarce"), at_ms(0));
    trees.call_made(base::route_id("wide"), base::route_id("idle"), at_ms(0));
    trees.on_report(base::route_id("scarce"), false, base::load_fraction(1.5), at_ms(0));
    trees.on_report(base::route_id("idle"), false, base::load_fraction(0.2), at_ms(0));
    trees.on_report(base::route_id("silent"), false, std::nullopt, at_ms(0));
    const auto pressure = trees.pressure_of(own_service, base::route_id(row.route), at_ms(100));
    ASSERT_EQ(pressure.has_value(), row.pressure.has_value());
    if (pressure) {
        EXPECT_NEAR(pressure->value(), *row.pressure, 0.01);
    }
}

INSTANTIATE_TEST_SUITE_P(table, route_pressure,
                         testing::Values(pressure_case{"leads to it", true, "upper", 1.5},
                                         pressure_case{"leads elsewhere", true, "wide", 0.5},
                                         pressure_case{"no calls", true, "leaf", 0.5},
                                         pressure_case{"off", false, "upper", std::nullopt}));

struct root_case {
    const char* name;
    bool enabled;
    const char* path;
    double pressure;
    bool shed;
};

void PrintTo(const root_case& row, std::ostream* out)
{
    *out << row.name;
}

class root_request : public testing::TestWithParam<root_case> {};

// Guards against calls within admitted trees that are shed, against shed requests that have taken a
// token or reached a gatekeeper, and against shedding without the setting.
TEST_P(root_request, is_shed_by_the_pressure_in_answers)
{
    const auto& row = GetParam();
    traffic_fixture fixture(options_with(row.enabled));
    int shed = 0;
    for (std::uint64_t n = 1; n <= 100; ++n) {
        const auto ms = static_cast<std::int64_t>(n * 50);
        request_arrived request;
        request.exchange = exchange_id(n);
        request.path = row.path;
        request.key = traffic_fixture::hash_of('k');
        std::vector<effect> out;
        fixture.machine.handle(request, fixture.view, at_ms(ms), out);
        ASSERT_EQ(out.size(), 1);
        if (const auto* refused = std::get_if<refuse>(&out.front())) {
            ++shed;
            EXPECT_EQ(refused->reason, refusal_reason::shed);
            EXPECT_EQ(refused->reported_outcome, outcome::not_run);
            EXPECT_GE(refused->retry_after, base::duration(std::chrono::milliseconds(500)));
            EXPECT_LE(refused->retry_after, base::duration(std::chrono::seconds(4)));
            continue;
        }
        if (std::holds_alternative<request_token>(out.front())) {
            fixture.handle(token_granted{exchange_id(n), token_grant_id(n)}, ms);
        }
        const auto transfer = fixture.last_forward.transfer;
        response_started answer{transfer, response_class::served, {}, {}};
        answer.pressure = base::load_fraction(row.pressure);
        fixture.handle(transfer_connected{transfer}, ms);
        fixture.handle(answer, ms);
        fixture.handle(response_finished{transfer, nullptr}, ms);
    }
    EXPECT_EQ(shed > 20, row.shed) << shed;
    EXPECT_EQ(shed > 0, row.shed) << shed;
}

INSTANTIATE_TEST_SUITE_P(table, root_request,
                         testing::Values(root_case{"scarce", true, "/keyed", 3, true},
                                         root_case{"capacity left", true, "/keyed", 0.9, false},
                                         root_case{"call in a tree", true, "/open", 3, false},
                                         root_case{"off", false, "/keyed", 3, false}));

// Guards against a gatekeeper that does not tell its load, or tells it without the setting.
TEST(gatekeeper_pressure, is_stated_in_answers)
{
    for (const bool enabled : {false, true}) {
        traffic_fixture fixture(options_with(enabled));
        std::vector<effect> out;
        call_arrived call;
        call.exchange = exchange_id(1);
        call.service = own_service;
        call.context.call = base::call_id(1);
        call.context.budget = std::chrono::milliseconds(500);
        fixture.machine.handle(call, fixture.view, at_ms(0), out);
        fixture.handle(transfer_connected{transfer_id(1)}, 0);
        out.clear();
        fixture.machine.handle(response_started{transfer_id(1), response_class::served, {}, {}},
                               fixture.view, at_ms(400), out);
        ASSERT_EQ(out.size(), 1);
        const auto* relay = std::get_if<relay_response>(&out.front());
        ASSERT_NE(relay, nullptr);
        ASSERT_EQ(relay->pressure.has_value(), enabled);
        if (enabled) {
            EXPECT_GT(relay->pressure->value(), 0.9);
        }
    }
}

} // namespace
} // namespace damaskladder::node
