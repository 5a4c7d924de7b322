#include "consensus/self_managed_cluster.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <ostream>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace damaskladder::consensus {
namespace {

using namespace std::chrono_literals;

/// A VM counts as lost for this long after it is back or its successor has started.
constexpr base::duration catch_up = 4s;
/// Service resumes within this time after the last loss.
constexpr base::duration recovery_limit = 15s;
/// A leader commits a change within this time.
constexpr base::duration commit_limit = 500ms;
/// The losses are played in steps of this length; a slowed VM runs in every fifth of them only.
constexpr base::duration step = 300ms;
constexpr int steps_of_a_pause = 5;

enum class loss_kind { wiped, restarted, replaced, replaced_at_once, frozen, slowed };
enum class loss_target { leader, follower, newest };

constexpr loss_kind all_kinds[] = {loss_kind::wiped,    loss_kind::restarted,
                                   loss_kind::replaced, loss_kind::replaced_at_once,
                                   loss_kind::frozen,   loss_kind::slowed};
constexpr loss_target all_targets[] = {loss_target::leader, loss_target::follower,
                                       loss_target::newest};

struct loss {
    loss_kind kind;
    loss_target target;
};

std::string name_of(const loss& value)
{
    static constexpr const char* kinds[] = {"wiped",  "restarted", "replaced", "replaced_at_once",
                                            "frozen", "slowed"};
    static constexpr const char* targets[] = {"leader", "follower", "newest"};
    return std::string(targets[static_cast<int>(value.target)]) + "_" +
           kinds[static_cast<int>(value.kind)];
}

void PrintTo(const loss& value, std::ostream* out)
{
    *out << name_of(value);
}

std::vector<loss> all_losses()
{
    std::vector<loss> all;
    for (const auto kind : all_kinds) {
        for (const auto target : all_targets) {
            all.push_back({kind, target});
        }
    }
    return all;
}

/// Steps until the VM is back or its successor starts.
int steps_of_absence(loss_kind kind)
{
    switch (kind) {
    case loss_kind::replaced_at_once:
        return 0;
    case loss_kind::frozen:
    case loss_kind::slowed:
        return 10;
    default:
        return 4;
    }
}

/// A cluster that loses VMs.
class losing_cluster {
public:
    losing_cluster(std::size_t size, std::uint64_t seed, std::size_t tolerated)
        : m_fleet(size, seed, options_for(tolerated), {}), m_newest(size - 1)
    {
        EXPECT_TRUE(m_fleet.settles(recovery_limit)) << cluster().describe();
    }

    /// Loses VMs at the same time and lets `after` pass once all are back or replaced.
    void lose(const std::vector<loss>& together, base::duration after)
    {
        struct absent {
            std::size_t number;
            loss_kind kind;
        };
        std::vector<absent> lost;
        for (const auto& each : together) {
            lost.push_back({find(each.target), each.kind});
            begin(lost.back().number, each.kind);
        }
        for (int passed = 0; !lost.empty(); ++passed) {
            for (const auto& each : lost) {
                const bool runs = passed % steps_of_a_pause == steps_of_a_pause - 1;
                if (each.kind == loss_kind::slowed) {
                    set_frozen(each.number, !runs);
                }
                if (passed == steps_of_absence(each.kind)) {
                    end(each.number, each.kind);
                }
            }
            std::erase_if(
                lost, [&](const absent& each) { return passed == steps_of_absence(each.kind); });
            m_fleet.run(lost.empty() ? after : step);
        }
    }

    /// Commits a change, which has to survive the losses that follow. Returns false if there is no
    /// leader or it does not succeed in time.
    bool commit_change()
    {
        const auto leader = cluster().leader();
        if (!leader || !runs(*leader)) {
            return false;
        }
        const auto change = cluster().propose(*leader);
        return cluster().run_until([&] { return cluster().accepted.count(change) != 0; },
                                   commit_limit);
    }

    /// Every entry that was committed is still there (checked by test_cluster), new ones are
    /// committed, and all VMs become members again.
    void expect_recovery()
    {
        EXPECT_TRUE(cluster().converges(recovery_limit)) << cluster().describe();
        EXPECT_TRUE(m_fleet.settles(recovery_limit)) << cluster().describe();
        EXPECT_EQ(cluster().violation(), "");
    }

private:
    static membership_policy_options options_for(std::size_t tolerated)
    {
        membership_policy_options options;
        options.min_remaining_voters = std::max(options.min_remaining_voters, 2 * tolerated + 1);
        return options;
    }

    test_cluster& cluster() { return m_fleet.cluster(); }

    bool runs(std::size_t number)
    {
        return cluster().is_up(number) && !cluster().is_frozen(number);
    }

    /// A VM that is not lost yet.
    std::size_t find(loss_target target)
    {
        const auto leader = cluster().leader();
        if (target == loss_target::leader && leader && runs(*leader)) {
            return *leader;
        }
        if (target == loss_target::newest && runs(m_newest)) {
            return m_newest;
        }
        std::size_t found = 0;
        while (!runs(found) || found == leader) {
            ++found;
        }
        return found;
    }

    void set_frozen(std::size_t number, bool frozen)
    {
        if (frozen) {
            cluster().freeze(number);
        }
        else {
            cluster().thaw(number);
        }
    }

    void begin(std::size_t number, loss_kind kind)
    {
        if (kind == loss_kind::frozen || kind == loss_kind::slowed) {
            cluster().freeze(number);
        }
        else {
            cluster().crash(number, unsynced_data::lost);
        }
    }

    void end(std::size_t number, loss_kind kind)
    {
        m_newest = number;
        switch (kind) {
        case loss_kind::wiped:
            cluster().set_rejoins(number);
            cluster().wipe(number);
            break;
        case loss_kind::restarted:
            cluster().start(number);
            break;
        case loss_kind::replaced:
        case loss_kind::replaced_at_once:
            m_newest = m_fleet.start_spare();
            break;
        case loss_kind::frozen:
        case loss_kind::slowed:
            cluster().thaw(number);
            break;
        }
    }

    self_managed_cluster m_fleet;
    std::size_t m_newest;
};

constexpr std::uint64_t seeds = 2;

class losses_in_turn : public testing::TestWithParam<std::tuple<loss, loss, std::size_t>> {};

// Guards against a cluster that stops for good although each VM was lost only catch_up after the
// one before was back or replaced: a VM that was gone still counted as a voter beside its
// successor, so that the quorum needed every other voter.
TEST_P(losses_in_turn, leave_a_quorum)
{
    const auto& [first, second, size] = GetParam();
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        losing_cluster cluster(size, seed, 1);
        cluster.lose({first}, catch_up);
        EXPECT_TRUE(cluster.commit_change());
        cluster.lose({second}, catch_up);
        cluster.expect_recovery();
    }
}

INSTANTIATE_TEST_SUITE_P(table, losses_in_turn,
                         testing::Combine(testing::ValuesIn(all_losses()),
                                          testing::ValuesIn(all_losses()),
                                          testing::Values<std::size_t>(3, 4, 5, 10)),
                         [](const auto& test) {
                             return name_of(std::get<0>(test.param)) + "_then_" +
                                    name_of(std::get<1>(test.param)) + "_of_" +
                                    std::to_string(std::get<2>(test.param));
                         });

class losses_of_a_successor
    : public testing::TestWithParam<std::tuple<loss_kind, loss_kind, int, std::size_t>> {};

// Guards against a cluster that stops for good because a VM is lost again before it has caught up:
// it had become a voter beside the one that it replaces, so that both counted and both were gone.
TEST_P(losses_of_a_successor, leave_a_quorum)
{
    const auto& [first, second, steps_between, size] = GetParam();
    losing_cluster cluster(size, 1, 1);
    cluster.lose({{first, loss_target::leader}}, steps_between * step);
    // There may be no leader yet.
    cluster.commit_change();
    cluster.lose({{second, loss_target::newest}}, catch_up);
    EXPECT_TRUE(cluster.commit_change());
    cluster.lose({{loss_kind::wiped, loss_target::leader}}, catch_up);
    cluster.expect_recovery();
}

INSTANTIATE_TEST_SUITE_P(table, losses_of_a_successor,
                         testing::Combine(testing::ValuesIn(all_kinds),
                                          testing::ValuesIn(all_kinds),
                                          testing::Values(1, 3, 5, 8, 11),
                                          testing::Values<std::size_t>(3, 4, 5)),
                         [](const auto& test) {
                             return name_of({std::get<0>(test.param), loss_target::leader}) +
                                    "_then_" +
                                    name_of({std::get<1>(test.param), loss_target::newest}) +
                                    "_after_" + std::to_string(std::get<2>(test.param)) +
                                    "_steps_of_" + std::to_string(std::get<3>(test.param));
                         });

struct series_case {
    std::size_t size;
    /// VMs that are lost at the same time.
    std::size_t together;
};

class series_of_losses : public testing::TestWithParam<series_case> {};

// Guards against voters that are lost one by one over a series of losses, each of which is allowed.
TEST_P(series_of_losses, leave_a_quorum)
{
    constexpr std::uint64_t series = 60;
    constexpr int rounds = 5;
    const auto losses = all_losses();
    for (std::uint64_t seed = 1; seed <= series; ++seed) {
        SCOPED_TRACE(testing::Message() << "seed " << seed);
        std::mt19937_64 random(seed);
        losing_cluster cluster(GetParam().size, seed, GetParam().together);
        for (int round = 0; round < rounds; ++round) {
            std::vector<loss> together;
            while (together.size() < GetParam().together) {
                together.push_back(losses[random() % losses.size()]);
            }
            EXPECT_TRUE(cluster.commit_change());
            cluster.lose(together, catch_up);
        }
        cluster.expect_recovery();
        if (HasFailure()) {
            return;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(table, series_of_losses,
                         testing::Values(series_case{3, 1}, series_case{4, 1}, series_case{5, 1},
                                         series_case{5, 2}, series_case{6, 2}, series_case{9, 2},
                                         series_case{10, 2}, series_case{7, 3}),
                         [](const auto& test) {
                             return std::to_string(test.param.together) + "_at_a_time_of_" +
                                    std::to_string(test.param.size);
                         });

} // namespace
} // namespace damaskladder::consensus
