#include "admission/workspace_demand.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace damaskladder::admission {
namespace {

struct demand_case {
    const char* name;
    /// Requests of the workspaces w0, w1, ...
    std::vector<int> requests;
    double fraction;
    /// Probability with which a request of each workspace is shed.
    std::vector<double> shed;
};

void PrintTo(const demand_case& row, std::ostream* out)
{
    *out << row.name;
}

class shares : public testing::TestWithParam<demand_case> {};

// Guards against workspaces that lose requests although they ask for less than an equal share.
TEST_P(shares, are_max_min)
{
    const auto& row = GetParam();
    workspace_demand demand;
    const base::time_point now{std::chrono::seconds(100)};
    const auto name = [](std::size_t n) { return base::workspace_id("w" + std::to_string(n)); };
    for (std::size_t n = 0; n < row.requests.size(); ++n) {
        for (int sent = 0; sent < row.requests[n]; ++sent) {
            demand.arrived(name(n), now);
        }
    }
    for (std::size_t n = 0; n < row.requests.size(); ++n) {
        EXPECT_NEAR(demand.shed_probability(name(n), row.fraction), row.shed[n], 1e-9) << n;
    }
}

INSTANTIATE_TEST_SUITE_P(
    table, shares,
    testing::Values(demand_case{"equal", {10, 10}, 0.4, {0.4, 0.4}},
                    demand_case{"one above the mean", {10, 30}, 0.4, {0, 16 / 30.0}},
                    demand_case{"all above the share", {10, 30}, 0.8, {0.6, 26 / 30.0}},
                    demand_case{"three", {2, 6, 12}, 0.5, {0, 2 / 6.0, 8 / 12.0}},
                    demand_case{"one far above the others", {2, 2, 96}, 0.4, {0, 0, 40 / 96.0}},
                    demand_case{"one far above the others, much to shed",
                                {10, 10, 10, 10, 60},
                                0.6,
                                {0.2, 0.2, 0.2, 0.2, 0.8}},
                    demand_case{"nothing to shed", {10, 30}, 0, {0, 0}}));

// Guards against memory that grows with the number of workspaces, and against workspaces beyond the
// bound that are always or never shed.
TEST(workspace_demand, treats_workspaces_beyond_the_bound_as_one)
{
    workspace_demand demand;
    const base::time_point now{std::chrono::seconds(100)};
    for (int n = 0; n < 10'000; ++n) {
        demand.arrived(base::workspace_id("w" + std::to_string(n)), now);
    }
    EXPECT_NEAR(demand.shed_probability(base::workspace_id("w9999"), 0.5), 0.5, 0.02);
}

} // namespace
} // namespace damaskladder::admission
