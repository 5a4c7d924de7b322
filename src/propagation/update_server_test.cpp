#include "propagation/update_server.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace damaskladder::propagation {
namespace {

using namespace std::chrono_literals;

struct list_step {
    base::duration at;
    /// Version of the list that the server learns before the poll; none if 0.
    std::uint64_t learned;
    /// Version of the list that the poller is sent after its poll; none if 0.
    std::uint64_t sent;
};

struct list_case {
    std::string name;
    std::vector<list_step> steps;
};

class replica_lists : public testing::TestWithParam<list_case> {};

// Guards against pollers that never hear of a replaced control VM, and against a list in each
// answer.
TEST_P(replica_lists, are_sent_when_new_and_now_and_then)
{
    propagation_options options;
    options.replica_list_interval = 10s;
    update_server server(options, [] { return settings_copy{}; });
    const base::node_id poller("n1");
    const poll body{poll_id(1), base::message_address("n1:1"), base::failure_domain_id("d"),
                    base::settings_version(0), false};
    for (const list_step& step : GetParam().steps) {
        const base::time_point now = base::time_point(100s) + step.at;
        if (step.learned != 0) {
            server.set_replicas({replica_list_version(step.learned),
                                 {{base::node_id("r"), base::message_address("r:1")}}});
        }
        server.answer(poller, body, {}, now);
        const auto sent = server.take_replica_list(poller, now);
        const std::uint64_t version = sent ? std::get<replica_list>(sent->body).version.value() : 0;
        EXPECT_EQ(version, step.sent) << step.at.count() << " us after the start";
    }
}

INSTANTIATE_TEST_SUITE_P(
    table, replica_lists,
    testing::Values(list_case{"none_known", {{0s, 0, 0}, {1s, 0, 0}}},
                    list_case{"once", {{0s, 1, 1}, {1s, 0, 0}, {9s, 0, 0}}},
                    list_case{"repeated", {{0s, 1, 1}, {10s, 0, 1}, {11s, 0, 0}, {20s, 0, 1}}},
                    list_case{"changed", {{0s, 1, 1}, {1s, 2, 2}, {2s, 0, 0}}},
                    list_case{"older_ignored", {{0s, 2, 2}, {1s, 1, 0}, {10s, 0, 2}}}),
    [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::propagation
