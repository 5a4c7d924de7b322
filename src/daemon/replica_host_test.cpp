#include "daemon/replica_host.hpp"
#include "daemon/scratch_folder.hpp"

#include <gtest/gtest.h>

#include <string>

namespace damaskladder::daemon {
namespace {

process_settings single_replica(const std::string& folder)
{
    process_settings settings;
    settings.name = base::node_id("r1");
    settings.replicas[settings.name] = {"127.0.0.1", 1};
    settings.replica.emplace();
    settings.replica->data = folder;
    settings.replica->admin = base::operator_id("first");
    return settings;
}

/// Runs a single replica until it has created the first admin.
void run_until_admin(const process_settings& settings)
{
    http::event_loop loop;
    replica_host replica(loop, settings,
                         {.send = [](const auto&) {}, .settings_changed = [](auto) {}});
    ASSERT_TRUE(replica.start());
    const auto give_up = http::event_loop::now() + std::chrono::seconds(20);
    loop.each_round([&](base::time_point now) -> std::optional<base::time_point> {
        if (!replica.replica().state().credentials().empty() || now > give_up) {
            loop.stop();
        }
        return now + std::chrono::milliseconds(1);
    });
    loop.run();
    EXPECT_FALSE(replica.replica().state().credentials().empty());
}

// Guards against log entries that are written to disk out of order: the command that a new leader
// submitted on its own election was written before the first entry of its term, and after a restart
// the folder was refused as damaged.
TEST(replica_host, starts_again_with_what_it_wrote_as_a_new_leader)
{
    const scratch_folder folder;
    const auto settings = single_replica(folder.path());
    run_until_admin(settings);
    run_until_admin(settings);
}

} // namespace
} // namespace damaskladder::daemon
