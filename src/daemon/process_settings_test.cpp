#include "daemon/process_settings.hpp"

#include <gtest/gtest.h>

namespace damaskladder::daemon {
namespace {

const std::string good = "[process]\n"
                         "name = vm1\n"
                         "failure_domain = west\n"
                         "secret_file = cluster.secret\n"
                         "messages = 127.0.0.1:7101\n"
                         "[replicas/vm1]\n"
                         "messages = 127.0.0.1:7101\n"
                         "[node]\n"
                         "callers = 127.0.0.1:7110\n"
                         "peers = 127.0.0.1:7111\n"
                         "backend_server = 127.0.0.1:7112\n"
                         "stop_limit = 5s\n"
                         "[control]\n"
                         "operators = 127.0.0.1:7120\n"
                         "data = data\n";

TEST(process_settings, are_read)
{
    const auto document =
        read_process_settings(good + "cold_rate_factor = 1.5\ncold_rate_slack = 8\n", "vm1.ini");
    ASSERT_TRUE(document.problems.empty()) << to_string(document.problems.front());
    const auto& settings = document.settings;
    EXPECT_EQ(settings.name, base::node_id("vm1"));
    EXPECT_EQ(settings.messages, (http::address{"127.0.0.1", 7101}));
    ASSERT_TRUE(settings.node && settings.replica);
    EXPECT_EQ(settings.node->listen.peers.port, 7111);
    EXPECT_EQ(settings.node->stop_limit, base::duration(std::chrono::seconds(5)));
    EXPECT_EQ(settings.replica->data, "data");
    EXPECT_EQ(settings.replica->cold_rate_factor, 1.5);
    EXPECT_EQ(settings.replica->cold_rate_slack, 8);
}

// Guards against a settings template that turns on admission at the root by a name that is not
// read.
TEST(process_settings, admission_by_call_tree_is_off_unless_set)
{
    auto text = good;
    EXPECT_FALSE(read_process_settings(text, "vm1.ini").settings.node->admit_by_call_tree);
    text.replace(text.find("stop_limit"), 0, "admit_by_call_tree = yes\n");
    const auto document = read_process_settings(text, "vm1.ini");
    EXPECT_TRUE(document.problems.empty());
    EXPECT_TRUE(document.settings.node->admit_by_call_tree);
}

struct problem_case {
    std::string name;
    std::string replaced;
    std::string by;
    /// Prefix of the first problem's text.
    std::string problem;
};

class process_problems : public testing::TestWithParam<problem_case> {};

// Guards against a process that starts with incomplete or invalid settings.
TEST_P(process_problems, name_file_line_section_and_key)
{
    const auto& expected = GetParam();
    auto text = good;
    const auto at = text.find(expected.replaced);
    ASSERT_NE(at, std::string::npos);
    text.replace(at, expected.replaced.size(), expected.by);
    const auto problems = read_process_settings(text, "vm1.ini").problems;
    ASSERT_FALSE(problems.empty());
    const auto line = to_string(problems.front());
    EXPECT_EQ(line.substr(0, expected.problem.size()), expected.problem) << line;
}

/// Sections or a list with this many control replicas.
std::string replica_sections(int count)
{
    std::string text;
    for (int i = 1; i <= count; ++i) {
        text += "[replicas/r" + std::to_string(i) + "]\nmessages = 10.0.0." + std::to_string(i) +
                ":7101\n";
    }
    return text;
}

std::string discovery_of(int count)
{
    std::string list;
    for (int i = 1; i <= count; ++i) {
        list += (i > 1 ? ",\n  10.0.0." : "10.0.0.") + std::to_string(i) + ":7101";
    }
    return "[discovery]\ncontrol_vms = " + list + "\nmessages_port = 7101\n";
}

struct replica_count_case {
    std::string name;
    std::string sections;
    /// The first problem; empty if the settings are valid.
    std::string problem;
};

class replica_counts : public testing::TestWithParam<replica_count_case> {};

// Guards against a cluster that starts with more replicas than it can admit again after a loss.
TEST_P(replica_counts, above_the_limit_are_one_problem)
{
    const auto problems = read_process_settings(good + GetParam().sections, "vm1.ini").problems;
    ASSERT_EQ(problems.size(), GetParam().problem.empty() ? 0U : 1U);
    if (!problems.empty()) {
        EXPECT_EQ(to_string(problems.front()), GetParam().problem);
    }
}

// The good settings name one replica.
INSTANTIATE_TEST_SUITE_P(
    table, replica_counts,
    testing::Values(replica_count_case{"most", replica_sections(30), ""},
                    replica_count_case{"too_many", replica_sections(31),
                                       "vm1.ini:1: [process] expected at most 31 control replicas "
                                       "(out_of_range)"},
                    replica_count_case{"most_discovered", discovery_of(30), ""},
                    replica_count_case{"too_many_discovered", discovery_of(31),
                                       "vm1.ini:17: [discovery] control_vms: expected at most 31 "
                                       "control replicas (out_of_range)"}),
    [](const auto& tested) { return tested.param.name; });

struct domain_list_case {
    std::string name;
    std::string value;
    std::vector<base::failure_domain_id> domains;
};

class domain_lists : public testing::TestWithParam<domain_list_case> {};

// Guards against a replica that does not start, or knows no failure domain, because of the spaces
// that a settings template leaves in the list.
TEST_P(domain_lists, are_read)
{
    const auto document =
        read_process_settings(good + "failure_domains =" + GetParam().value + "\n", "vm1.ini");
    ASSERT_TRUE(document.problems.empty()) << to_string(document.problems.front());
    EXPECT_EQ(document.settings.replica->failure_domains, GetParam().domains);
}

INSTANTIATE_TEST_SUITE_P(
    table, domain_lists,
    testing::Values(domain_list_case{"none", "", {}}, domain_list_case{"blank", " ", {}},
                    domain_list_case{"one", " a", {base::failure_domain_id("a")}},
                    domain_list_case{"two",
                                     " a,b",
                                     {base::failure_domain_id("a"), base::failure_domain_id("b")}},
                    domain_list_case{"spaces",
                                     " a,  b ",
                                     {base::failure_domain_id("a"), base::failure_domain_id("b")}}),
    [](const auto& tested) { return tested.param.name; });

INSTANTIATE_TEST_SUITE_P(
    table, process_problems,
    testing::Values(
        problem_case{"missing_field", "name = vm1\n", "", "vm1.ini:1: [process] name: "},
        problem_case{"unknown_field", "name = vm1", "nam = vm1", "vm1.ini:1: [process] name: "},
        problem_case{"bad_address", "7110", "70000", "vm1.ini:9: [node] callers: expected IP:PORT"},
        problem_case{"host_name", "callers = 127.0.0.1", "callers = localhost",
                     "vm1.ini:9: [node] callers: expected IP:PORT"},
        problem_case{"too_many_losses", "data = data\n", "data = data\ntolerated_losses = 8\n",
                     "vm1.ini:16: [control] tolerated_losses: expected a number from 0 to 7"},
        problem_case{"failure_domain_is_path", "data = data\n",
                     "data = data\nfailure_domains = a, b/c\n",
                     "vm1.ini:16: [control] failure_domains: expected a list"},
        problem_case{"failure_domain_missing", "data = data\n",
                     "data = data\nfailure_domains = a,, b\n",
                     "vm1.ini:16: [control] failure_domains: expected a list"},
        problem_case{"cold_rate_factor", "data = data\n", "data = data\ncold_rate_factor = 1.5x\n",
                     "vm1.ini:16: [control] cold_rate_factor: expected a number from 0 to 1000"},
        problem_case{"cold_rate_slack", "data = data\n", "data = data\ncold_rate_slack = -1\n",
                     "vm1.ini:16: [control] cold_rate_slack: expected a number from 0 to 1000"},
        problem_case{"none_ahead", "stop_limit = 5s", "requests_ahead = 0",
                     "vm1.ini:12: [node] requests_ahead: expected a number from 1"},
        problem_case{"no_unit", "5s", "5", "vm1.ini:12: [node] stop_limit: expected a duration"},
        problem_case{"no_flag", "stop_limit = 5s", "place_by_completion = 1",
                     "vm1.ini:12: [node] place_by_completion: expected yes or no"},
        problem_case{"no_crossing_unit", "stop_limit = 5s", "crossing_cost = 10",
                     "vm1.ini:12: [node] crossing_cost: expected a duration"},
        problem_case{"unknown_section", "[control]", "[controll]", "vm1.ini:13: [controll]"},
        problem_case{"twice", "peers = ", "callers = ", "vm1.ini:10: [node] callers: "},
        problem_case{"not_listed", "[replicas/vm1]", "[replicas/vm2]", "vm1.ini:13: [control]"},
        problem_case{"bad_list", "[node]\n", "[seeds]\naddresses = 1.2.3.4:5, x\n[node]\n",
                     "vm1.ini:9: [seeds] addresses: expected a list of IP:PORT"}),
    [](const auto& tested) { return tested.param.name; });

} // namespace
} // namespace damaskladder::daemon
