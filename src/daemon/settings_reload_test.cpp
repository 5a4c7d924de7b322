#include "daemon/settings_reload.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace damaskladder::daemon {
namespace {

std::string text_with(const std::string& control_vms, const std::string& more)
{
    return "[process]\nname = 10.0.0.1\nfailure_domain = a\nsecret = s\nmessages = 10.0.0.1:7000\n"
           "[discovery]\ncontrol_vms = " +
           control_vms +
           "\nmessages_port = 7000\n"
           "[node]\ncallers = 10.0.0.1:1\npeers = 10.0.0.1:2\nbackend_server = 10.0.0.1:3\n" +
           more;
}

struct reload_case {
    std::string name;
    std::string text;
    bool accepted = true;
    std::vector<std::string> pending_restart = {};
};

class changed_files : public testing::TestWithParam<reload_case> {};

// Guards against a file that is applied in part, and against a change that is ignored silently.
TEST_P(changed_files, are_applied_or_refused_as_a_whole)
{
    const auto running = read_process_settings(text_with("10.0.0.8:90", ""), "old").settings;
    const auto decided = reload_settings(running, read_process_settings(GetParam().text, "new"));
    EXPECT_EQ(decided.in_force.has_value(), GetParam().accepted);
    EXPECT_EQ(decided.problem.empty(), GetParam().accepted);
    EXPECT_EQ(decided.pending_restart, GetParam().pending_restart);
    if (decided.in_force) {
        EXPECT_EQ(decided.in_force->replicas.count(base::node_id("10.0.0.9")), 1U);
        EXPECT_EQ(decided.in_force->replicas.count(base::node_id("10.0.0.8")), 0U);
        EXPECT_EQ(decided.in_force->node->listen.callers, running.node->listen.callers);
    }
}

INSTANTIATE_TEST_SUITE_P(
    table, changed_files,
    testing::Values(reload_case{"other_control_vms", text_with("10.0.0.9:90", "")},
                    reload_case{"log_level", text_with("10.0.0.9:90", "[log]\nlevel = warn\n")},
                    reload_case{
                        "node", text_with("10.0.0.9:90", "connections = 5\n"), true, {"node"}},
                    reload_case{"node_and_log_format",
                                text_with("10.0.0.9:90", "connections = 5\n[log]\nformat = json\n"),
                                true,
                                {"node", "log"}},
                    reload_case{"invalid", text_with("10.0.0.9", ""), false},
                    reload_case{"empty", "", false},
                    reload_case{"of_another_process",
                                "[process]\nname = 10.0.0.2\nfailure_domain = a\nsecret = s\n"
                                "messages = 10.0.0.2:7000\n[node]\ncallers = 10.0.0.1:1\n"
                                "peers = 10.0.0.1:2\nbackend_server = 10.0.0.1:3\n",
                                false}),
    [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::daemon
