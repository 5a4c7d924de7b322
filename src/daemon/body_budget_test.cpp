#include "daemon/body_budget.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <vector>

namespace damaskladder::daemon {
namespace {

struct growth {
    /// Position of the request among the test's requests.
    std::size_t request;
    /// 0 releases the body.
    std::size_t size;
    bool fits;
};

struct budget_case {
    std::string name;
    std::vector<growth> steps;
};

class body_budgets : public testing::TestWithParam<budget_case> {};

// Guards against a control replica that runs out of memory because many operators send large bodies
// at once, each of them within the bound for one.
TEST_P(body_budgets, bound_all_bodies_together)
{
    body_budget budget(base::byte_count(100));
    // Only the addresses are used.
    const std::vector<std::size_t> requests(3);
    const auto request_at = [&](std::size_t position) {
        return reinterpret_cast<const http::exchange*>(&requests[position]);
    };
    for (const auto& step : GetParam().steps) {
        if (step.size == 0) {
            budget.release(request_at(step.request));
            continue;
        }
        EXPECT_EQ(budget.grow(request_at(step.request), step.size), step.fits) << step.size;
    }
}

INSTANTIATE_TEST_SUITE_P(
    table, body_budgets,
    testing::Values(
        budget_case{"one", {{0, 99, true}, {0, 100, true}, {0, 101, false}, {0, 100, true}}},
        budget_case{"two_together", {{0, 60, true}, {1, 40, true}, {0, 61, false}, {1, 100, true}}},
        budget_case{"released", {{0, 100, true}, {1, 1, false}, {0, 0, true}, {1, 100, true}}},
        budget_case{"released_twice",
                    {{0, 50, true}, {0, 0, true}, {0, 0, true}, {1, 100, true}, {2, 1, false}}}),
    [](const auto& test) { return test.param.name; });

} // namespace
} // namespace damaskladder::daemon
