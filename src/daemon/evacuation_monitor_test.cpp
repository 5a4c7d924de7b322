#include "daemon/evacuation_monitor.hpp"

#include <gtest/gtest.h>

namespace damaskladder::daemon {
namespace {

using domain_set = std::set<base::failure_domain_id>;

domain_set domains_of(const std::string& letters)
{
    domain_set domains;
    for (const char letter : letters) {
        domains.emplace(std::string(1, letter));
    }
    return domains;
}

struct change_case {
    const char* name;
    /// Evacuated domains before and after, one letter each.
    const char* before;
    const char* after;
    const char* changes;
    const char* gauge;
};

class evacuation_changes : public testing::TestWithParam<change_case> {};

// Guards against a log that does not show when a node starts or ends an evacuation, or repeats it
// with every view.
TEST_P(evacuation_changes, are_reported_once)
{
    std::string changes;
    evacuation_monitor monitor(
        [&](const base::failure_domain_id& domain, bool evacuated, std::size_t running) {
            changes += (evacuated ? "+" : "-") + domain.value() + std::to_string(running);
        });
    monitor.update(domains_of(GetParam().before), 0);
    changes.clear();
    monitor.update(domains_of(GetParam().after), 7);
    monitor.update(domains_of(GetParam().after), 8);
    EXPECT_EQ(changes, GetParam().changes);
    EXPECT_EQ(monitor.metrics(), "# TYPE damaskladder_evacuated_domains gauge\n"
                                 "damaskladder_evacuated_domains " +
                                     std::string(GetParam().gauge) + "\n");
}

INSTANTIATE_TEST_SUITE_P(table, evacuation_changes,
                         testing::Values(change_case{"none", "", "", "", "0"},
                                         change_case{"starts", "", "a", "+a7", "1"},
                                         change_case{"ends", "ab", "b", "-a7", "1"},
                                         change_case{"moves", "a", "b", "+b7-a7", "1"}),
                         [](const auto& tested) { return std::string(tested.param.name); });

} // namespace
} // namespace damaskladder::daemon
