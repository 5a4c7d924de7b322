#pragma once

#include "consensus/fake_disk.hpp"
#include "consensus/file_storage.hpp"
#include "consensus/persistence_queue.hpp"
#include "consensus/replica.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace damaskladder::consensus {

/// Test harness: replicas on fake disks, a list of messages in flight, and a simple reference model
/// of what was committed. Every applied entry, snapshot, election and read is checked against the
/// model; the text of the first violation is kept.
class test_cluster {
public:
    /// All replicas form the cluster unless options.initial_replicas names those that do.
    test_cluster(std::size_t count, std::uint64_t seed, const replica_options& options = {});

    static replica_id id_of(std::size_t number);

    // Each of these passes one event or message.
    void tick(std::size_t number);
    std::uint64_t propose(std::size_t number);
    void read(std::size_t number);
    std::uint64_t change(std::size_t number, membership_change change);
    void transfer(std::size_t number);
    void flush(std::size_t number);
    void deliver(std::size_t position);
    /// Delivers the message and keeps it in flight.
    void deliver_copy(std::size_t position);
    void drop(std::size_t position);
    void pass_time(base::duration amount) { m_now += amount; }
    base::time_point now() const { return m_now; }

    // Faults.
    void crash(std::size_t number, unsynced_data unsynced);
    void start(std::size_t number);
    void wipe(std::size_t number);
    /// From its next start on, the replica rejoins a cluster instead of forming it.
    void set_rejoins(std::size_t number) { m_replicas[number].rejoins = true; }
    /// A frozen replica does nothing in run(); what is delivered to it waits until it thaws.
    void freeze(std::size_t number) { m_replicas[number].frozen = true; }
    void thaw(std::size_t number);
    bool is_frozen(std::size_t number) const { return m_replicas[number].frozen; }
    /// Only replicas of the same group receive each other's messages.
    void set_group(std::size_t number, int group) { m_replicas[number].group = group; }
    void heal();

    /// Advances time in steps of tick_interval; delivers messages in order and syncs immediately,
    /// unless the settings below say otherwise.
    void run(base::duration amount);
    /// Runs until the condition holds; returns false if it does not within the limit.
    bool run_until(const std::function<bool()>& condition, base::duration limit);
    /// Proposes a command and runs until every member that is up has applied all committed entries,
    /// including it.
    bool converges(base::duration limit);

    std::optional<std::size_t> leader() const;
    /// True if the committed configuration contains the replica's identity. The replica must be up.
    bool is_member(std::size_t number) const;
    bool is_up(std::size_t number) const { return m_replicas[number].core.has_value(); }
    replica_status status(std::size_t number) const { return m_replicas[number].core->status(); }
    log_index applied(std::size_t number) const { return m_replicas[number].applied; }
    fake_disk& disk(std::size_t number) { return *m_replicas[number].disk; }
    std::size_t size() const { return m_replicas.size(); }
    std::size_t messages_in_flight() const { return m_messages.size(); }
    const std::vector<envelope>& messages() const { return m_messages; }
    std::size_t committed() const { return m_reference.size(); }
    /// Latest configuration applied by any replica.
    const configuration& members() const { return m_members; }
    /// One line of state per replica, for test failure messages.
    std::string describe() const;
    const std::string& violation() const { return m_violation; }

    /// Outcomes by proposal number; a proposal without an outcome is in neither map.
    std::map<std::uint64_t, log_index> accepted;
    std::map<std::uint64_t, refusal_reason> refusals;
    std::size_t reads_confirmed = 0;
    std::size_t snapshots_installed = 0;
    /// Defers persist effects until flush() is called.
    bool delay_syncs = false;
    /// Percentage of messages that run() drops at random.
    int loss_percent = 0;
    /// run() delivers every message twice.
    bool duplicate = false;
    /// run() delivers the newest message first.
    bool reverse = false;
    /// run() delivers nothing.
    bool pause = false;
    /// Called with the number of a newly elected leader.
    std::function<void(std::size_t)> on_elected;

private:
    struct test_replica {
        std::unique_ptr<fake_disk> disk;
        std::unique_ptr<file_storage> storage;
        std::optional<persistence_queue> queue;
        std::optional<replica> core;
        int group = 0;
        bool rejoins = false;
        bool frozen = false;
        std::vector<envelope> received_while_frozen;
        log_index applied;
        std::uint64_t hash = 0;
        std::optional<log_index> wanted_snapshot;
        std::map<read_id, std::size_t> reads;
    };

    void step(std::size_t number, event happened);
    void execute_effects(std::size_t number, std::vector<effect> effects);
    void on(std::size_t number, send_message& sent);
    void on(std::size_t number, apply_committed& applied);
    void on(std::size_t number, install_snapshot& installed);
    void on(std::size_t number, read_confirmed& confirmed);
    void on(std::size_t number, became_leader& elected);
    void on(std::size_t number, refused& request);
    void on(std::size_t number, snapshot_wanted& wanted);
    template <class Other>
    void on(std::size_t /*number*/, Other& /*other*/)
    {
    }
    void take_snapshot(std::size_t number);
    void deliver_all();
    void expect(bool condition, const std::string& text);

    replica_options m_options;
    std::mt19937_64 m_random;
    base::time_point m_now;
    std::vector<test_replica> m_replicas;
    std::vector<envelope> m_messages;
    /// Hash of the state machine after each committed entry.
    std::vector<std::uint64_t> m_reference;
    configuration m_members;
    std::map<term_number, replica_identity> m_leaders;
    std::uint64_t m_next_request = 1;
    std::string m_violation;
};

} // namespace damaskladder::consensus
