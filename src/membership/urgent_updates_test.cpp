#include "membership/urgent_updates.hpp"

#include <gtest/gtest.h>

#include <string>

namespace damaskladder::membership {
namespace {

using std::chrono::milliseconds;

struct arrival {
    int ms;
    std::string node;
    std::string source;
};

struct arrival_case {
    const char* name;
    std::vector<arrival> arrivals;
    /// Times and contents of the messages, checked each 10 ms.
    std::string sent;
};

base::time_point at(int ms)
{
    return base::time_point(milliseconds(ms));
}

class urgent_update_schedules : public testing::TestWithParam<arrival_case> {};

// Guards against a start of a fleet in which each node sends one message for each record and
// observer, and against a single update that waits.
TEST_P(urgent_update_schedules, send_single_updates_at_once_and_collect_the_others)
{
    constexpr int step_ms = 10;
    constexpr int end_ms = 400;
    urgent_updates updates(milliseconds(100));
    std::string sent;
    for (int ms = 0; ms <= end_ms; ms += step_ms) {
        for (const auto& next : GetParam().arrivals) {
            if (next.ms == ms) {
                member_record record;
                record.node = base::node_id(next.node);
                updates.add(record, base::node_id(next.source));
            }
        }
        if (updates.is_due(at(ms))) {
            sent += std::to_string(ms) + ":";
            for (const auto& update : updates.take(at(ms))) {
                sent += " " + update.record.node.value() + "<" + update.source.value();
            }
            sent += "\n";
        }
    }
    EXPECT_EQ(sent, GetParam().sent);
}

INSTANTIATE_TEST_SUITE_P(
    table, urgent_update_schedules,
    testing::Values(arrival_case{"one", {{50, "a", "x"}}, "50: a<x\n"},
                    arrival_case{
                        "two_far_apart", {{50, "a", "x"}, {150, "b", "x"}}, "50: a<x\n150: b<x\n"},
                    arrival_case{"burst",
                                 {{0, "a", "x"}, {10, "b", "y"}, {20, "c", "x"}, {90, "d", "x"}},
                                 "0: a<x\n100: b<y c<x d<x\n"},
                    arrival_case{"newer_record_of_the_same_node",
                                 {{0, "a", "x"}, {10, "b", "x"}, {20, "b", "y"}},
                                 "0: a<x\n100: b<y\n"}),
    [](const auto& test) { return std::string(test.param.name); });

} // namespace
} // namespace damaskladder::membership
