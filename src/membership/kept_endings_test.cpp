#include "membership/kept_endings.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace damaskladder::membership {
namespace {

using namespace std::chrono_literals;

struct keep_step {
    base::duration at;
    std::string node;
    run_ending ending;
};

struct keep_case {
    std::string name;
    std::vector<keep_step> steps;
    base::duration read_at;
    std::string read_node;
    std::vector<run_ending> expected;
};

run_ending drained(const std::string& run, std::uint64_t sequence)
{
    return {base::instance_id(run), {10, sequence}, false};
}

run_ending withdrawn(const std::string& run, std::uint64_t sequence)
{
    return {base::instance_id(run), {10, sequence}, true};
}

class kept_lists : public testing::TestWithParam<keep_case> {};

// Guards against a holder that forgets an ending early, weakens it, or keeps ever more of them.
TEST_P(kept_lists, hold_the_newest_endings_within_the_limits)
{
    kept_endings kept({10s, 4, 2});
    for (const keep_step& step : GetParam().steps) {
        kept.keep(base::node_id(step.node), {step.ending}, base::time_point(step.at));
    }
    EXPECT_EQ(kept.of(base::node_id(GetParam().read_node), base::time_point(GetParam().read_at)),
              GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    table, kept_lists,
    testing::Values(
        keep_case{"unknown_node", {{0s, "a", drained("i1", 1)}}, 1s, "b", {}},
        keep_case{
            "until_the_retention_ends", {{0s, "a", drained("i1", 1)}}, 9s, "a", {drained("i1", 1)}},
        keep_case{"no_longer_than_the_retention", {{0s, "a", drained("i1", 1)}}, 10s, "a", {}},
        keep_case{"longer_if_kept_again",
                  {{0s, "a", drained("i1", 1)}, {9s, "a", drained("i1", 1)}},
                  18s,
                  "a",
                  {drained("i1", 1)}},
        keep_case{"withdrawal_replaces_drain",
                  {{0s, "a", drained("i1", 1)}, {1s, "a", withdrawn("i1", 2)}},
                  2s,
                  "a",
                  {withdrawn("i1", 2)}},
        keep_case{"late_drain_does_not_replace_withdrawal",
                  {{0s, "a", withdrawn("i1", 2)}, {1s, "a", drained("i1", 1)}},
                  2s,
                  "a",
                  {withdrawn("i1", 2)}},
        keep_case{
            "oldest_of_a_node_goes",
            {{0s, "a", drained("i1", 1)}, {1s, "a", drained("i2", 1)}, {2s, "a", drained("i3", 1)}},
            3s,
            "a",
            {drained("i2", 1), drained("i3", 1)}},
        keep_case{"oldest_of_all_goes",
                  {{0s, "a", drained("i1", 1)},
                   {1s, "b", drained("i2", 1)},
                   {1s, "c", drained("i3", 1)},
                   {1s, "d", drained("i4", 1)},
                   {1s, "e", drained("i5", 1)}},
                  2s,
                  "a",
                  {}}),
    [](const auto& test) { return test.param.name; });

} // namespace
} // namespace damaskladder::membership
