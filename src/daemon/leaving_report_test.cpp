#include "daemon/leaving_report.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace damaskladder::daemon {
namespace {

// Guards against a log line for each small change, and against a change that is never reported.
TEST(leaving_report, reports_crossings_rarely)
{
    double part = 0;
    std::vector<bool> crossings;
    leaving_report report(
        [&] {
            return std::vector<node::leaving_service>{{base::service_id("stock"), part, 1, 1}};
        },
        [&](const auto&, bool upward) { crossings.push_back(upward); });
    for (int second = 0; second < 30; ++second) {
        // Changes each second for 9 s, then stays above until 20 s.
        part = second < 9 ? 0.2 * (second % 2) : (second < 20 ? 0.15 : 0.05);
        report.round(base::time_point(std::chrono::seconds(second + 3)));
    }
    EXPECT_EQ(crossings, (std::vector<bool>{true, false, true, false}));
}

// Guards against metrics that grow with the number of services.
TEST(leaving_report, metrics_are_bounded)
{
    const leaving_report report(
        [] {
            constexpr int count = 100;
            std::vector<node::leaving_service> services;
            services.reserve(count);
            for (int n = 0; n < count; ++n) {
                services.push_back({base::service_id("s" + std::to_string(n)), n / 100.0, 1, 1});
            }
            return services;
        },
        {});
    const auto text = report.metrics();
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 3 * 21);
    EXPECT_NE(text.find("damaskladder_leaving_domain_ratio{service=\"s99\"} 0.99\n"),
              std::string::npos);
}

} // namespace
} // namespace damaskladder::daemon
