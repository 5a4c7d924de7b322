#include "consensus/test_cluster.hpp"

#include <gtest/gtest.h>

#include <random>

namespace damaskladder::consensus {
namespace {

using namespace std::chrono_literals;

struct schedule_case {
    std::size_t replicas;
    std::uint64_t first_seed;
    std::uint64_t schedules;
};

void PrintTo(const schedule_case& value, std::ostream* out)
{
    *out << value.replicas << " replicas, " << value.schedules << " schedules from seed "
         << value.first_seed;
}

/// A random schedule of crashes, partitions, lost, duplicated and reordered messages, delayed and
/// failed syncs, snapshots, leadership transfers, wiped folders and membership changes.
class random_schedule {
public:
    random_schedule(std::size_t replicas, std::uint64_t seed)
        : m_random(seed), m_cluster(replicas, seed, options(seed))
    {
        m_cluster.delay_syncs = true;
    }

    void run()
    {
        // Three of four schedules start with a working cluster, the others with its bootstrap.
        if (m_random() % 4 != 0) {
            settle();
        }
        constexpr int steps = 400;
        for (int i = 0; i < steps && m_cluster.violation().empty(); ++i) {
            one_step();
        }
        settle();
    }

    test_cluster& cluster() { return m_cluster; }

private:
    static replica_options options(std::uint64_t seed)
    {
        replica_options small;
        small.snapshot_after_entries = 12;
        small.retained_before_snapshot.max_entries = 3;
        small.snapshot_chunk = base::byte_count(50);
        // With even seeds a request holds one entry, with odd seeds a few.
        small.max_append = base::byte_count(seed % 2 == 0 ? 1 : 150);
        small.promotion_lag_entries = 2;
        return small;
    }

    std::size_t random_replica() { return m_random() % m_cluster.size(); }

    void one_step()
    {
        const std::uint64_t choice = m_random() % 1000;
        if (choice < 500) {
            deliver_random_message();
        }
        else if (choice < 650) {
            m_cluster.pass_time(std::chrono::milliseconds(m_random() % 60));
            m_cluster.tick(random_replica());
        }
        else if (choice < 800) {
            m_cluster.flush(random_replica());
        }
        else if (choice < 900) {
            m_cluster.propose(m_cluster.leader().value_or(random_replica()));
        }
        else if (choice < 950) {
            m_cluster.read(m_random() % 2 == 0 ? random_replica()
                                               : m_cluster.leader().value_or(random_replica()));
        }
        else {
            inject_fault();
        }
    }

    void deliver_random_message()
    {
        if (m_cluster.messages_in_flight() == 0) {
            return;
        }
        const std::size_t position =
            m_random() % std::min<std::size_t>(m_cluster.messages_in_flight(), 8);
        const std::uint64_t action = m_random() % 20;
        if (action == 0) {
            m_cluster.drop(position);
        }
        else if (action == 1) {
            m_cluster.deliver_copy(position);
        }
        else {
            m_cluster.deliver(position);
        }
    }

    void inject_fault()
    {
        const std::size_t number = random_replica();
        switch (m_random() % 9) {
        case 0:
        case 1:
            m_cluster.crash(number, static_cast<unsynced_data>(m_random() % 4));
            break;
        case 2:
        case 3:
            if (!m_cluster.is_up(number)) {
                m_cluster.start(number);
            }
            break;
        case 4:
            m_cluster.set_group(number, static_cast<int>(m_random() % 2));
            break;
        case 5:
            m_cluster.heal();
            break;
        case 6:
            m_cluster.disk(number).fail_at(m_cluster.disk(number).operations() + m_random() % 5,
                                           true);
            break;
        case 7:
            m_cluster.transfer(m_cluster.leader().value_or(number));
            break;
        default:
            change_members(number);
        }
    }

    void change_members(std::size_t number)
    {
        const auto leader = m_cluster.leader();
        if (!leader) {
            return;
        }
        if (m_random() % 3 == 0 && can_wipe(number)) {
            m_cluster.wipe(number);
            m_wiped = number;
        }
        else if (m_random() % 3 == 0 && !m_wiped) {
            m_cluster.change(*leader, remove_replica{test_cluster::id_of(number)});
        }
        readmit(*leader);
    }

    /// A folder may be wiped only while every replica is up and a voter of the committed
    /// configuration, and no removal is in progress, because a removal takes effect as soon as it
    /// is appended. The protocol does not tolerate more.
    bool can_wipe(std::size_t number)
    {
        bool all_voters = m_cluster.members().voter_count() == m_cluster.size();
        for (std::size_t i = 0; i < m_cluster.size(); ++i) {
            all_voters = all_voters && m_cluster.is_up(i) &&
                         m_cluster.members().is_voter(m_cluster.status(i).identity) &&
                         m_cluster.status(i).members.voter_count() == m_cluster.size();
        }
        return all_voters && m_cluster.leader() != number;
    }

    void readmit(std::size_t leader)
    {
        const configuration members = m_cluster.status(leader).members;
        if (m_wiped && m_cluster.is_up(*m_wiped) &&
            m_cluster.members().is_voter(m_cluster.status(*m_wiped).identity)) {
            m_wiped.reset();
        }
        for (std::size_t i = 0; i < m_cluster.size(); ++i) {
            const member* known = members.find(test_cluster::id_of(i));
            const bool missing =
                m_cluster.is_up(i) &&
                (known == nullptr || known->identity != m_cluster.status(i).identity);
            if (missing) {
                m_cluster.change(leader, add_replica{m_cluster.status(i).identity});
            }
        }
    }

    /// Ends all faults and waits until the cluster converges with all replicas as voters.
    void settle()
    {
        m_cluster.delay_syncs = false;
        m_cluster.heal();
        for (std::size_t i = 0; i < m_cluster.size(); ++i) {
            m_cluster.crash(i, static_cast<unsynced_data>(m_random() % 4));
            m_cluster.start(i);
        }
        bool settled = m_cluster.converges(30s);
        const auto all_vote = [&] {
            if (const auto leader = m_cluster.leader()) {
                readmit(*leader);
            }
            return m_cluster.members().voter_count() == m_cluster.size();
        };
        settled = settled && m_cluster.run_until(all_vote, 30s) && m_cluster.converges(30s);
        EXPECT_TRUE(settled) << "the cluster does not converge\n" << m_cluster.describe();
        m_cluster.delay_syncs = true;
    }

    std::mt19937_64 m_random;
    test_cluster m_cluster;
    /// Replica whose folder was wiped and that has not become a voter again.
    std::optional<std::size_t> m_wiped;
};

class random_schedules : public testing::TestWithParam<schedule_case> {};

// Guards against diverging logs, lost entries, two leaders in a term, stale reads, and clusters
// that stay without a leader after the faults end.
TEST_P(random_schedules, agree_with_the_reference)
{
    std::size_t committed = 0;
    std::size_t reads = 0;
    std::size_t transfers = 0;
    const schedule_case& range = GetParam();
    for (std::uint64_t seed = range.first_seed; seed < range.first_seed + range.schedules; ++seed) {
        random_schedule schedule(range.replicas, seed);
        schedule.run();
        ASSERT_EQ(schedule.cluster().violation(), "") << "seed " << seed;
        ASSERT_FALSE(testing::Test::HasFailure()) << "seed " << seed;
        committed += schedule.cluster().committed();
        reads += schedule.cluster().reads_confirmed;
        transfers += schedule.cluster().snapshots_installed;
    }
    // Schedules that commit nothing would check nothing.
    EXPECT_GT(committed, range.schedules);
    EXPECT_GT(reads, range.schedules / 10);
    EXPECT_GT(transfers, range.schedules / 10);
    RecordProperty("committed", static_cast<int>(committed));
    RecordProperty("reads", static_cast<int>(reads));
    RecordProperty("snapshots", static_cast<int>(transfers));
}

INSTANTIATE_TEST_SUITE_P(table, random_schedules,
                         testing::Values(schedule_case{1, 1, 1000}, schedule_case{3, 10000, 10000},
                                         schedule_case{4, 50000, 2000},
                                         schedule_case{5, 100000, 4000},
                                         schedule_case{9, 200000, 1000},
                                         schedule_case{10, 300000, 1000},
                                         schedule_case{15, 400000, 1000}));

} // namespace
} // namespace damaskladder::consensus
