#include "propagation/confirmation_monitor.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace damaskladder::propagation {
namespace {

using namespace std::chrono_literals;
using report = confirmation_monitor::report;

struct step {
    base::duration at;
    std::optional<base::duration> staleness;
    report expected;
};

struct monitor_case {
    std::string name;
    std::vector<step> steps;
};

class confirmation_reports : public testing::TestWithParam<monitor_case> {};

// Guards against an outage of the settings that leaves no line in the log, and against one line for
// each poll.
TEST_P(confirmation_reports, loss_and_return_are_reported_once)
{
    confirmation_monitor monitor(1s, 5s);
    for (const step& each : GetParam().steps) {
        EXPECT_EQ(monitor.update(each.staleness, base::time_point(100s) + each.at), each.expected)
            << each.at.count() << " us after the start";
    }
}

INSTANTIATE_TEST_SUITE_P(table, confirmation_reports,
                         testing::Values(monitor_case{"answered_soon",
                                                      {{0s, {}, report::none},
                                                       {500ms, {}, report::none},
                                                       {900ms, 400ms, report::none},
                                                       {1400ms, 900ms, report::none}}},
                                         monitor_case{"never_answered",
                                                      {{0s, {}, report::none},
                                                       {1s, {}, report::none},
                                                       {1100ms, {}, report::unconfirmed},
                                                       {1200ms, {}, report::none},
                                                       {6s, {}, report::none},
                                                       {6100ms, {}, report::unconfirmed}}},
                                         monitor_case{"lost_and_regained",
                                                      {{0s, 100ms, report::none},
                                                       {2s, 1100ms, report::unconfirmed},
                                                       {3s, 2100ms, report::none},
                                                       {4s, 200ms, report::confirmed},
                                                       {5s, 200ms, report::none},
                                                       {7s, 1500ms, report::unconfirmed}}}),
                         [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::propagation
