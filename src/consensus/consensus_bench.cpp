#include "consensus/file_storage.hpp"
#include "consensus/persistence_queue.hpp"
#include "consensus/posix_file_layer.hpp"
#include "consensus/replica.hpp"

#include <benchmark/benchmark.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <filesystem>
#include <future>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace damaskladder::consensus {
namespace {

using namespace std::chrono_literals;

/// Size of a typical settings change or claim.
constexpr std::size_t command_bytes = 200;

/// Uses the working folder, because the folder for temporary files may be in memory.
std::filesystem::path fresh_folder(const std::string& name)
{
    auto folder = std::filesystem::current_path() / ("consensus_bench_" + name);
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    return folder;
}

std::unique_ptr<file_storage> open_folder(const replica_id& id, const std::filesystem::path& folder)
{
    return base::handle_failure(
        [&] {
            return file_storage::open({id}, posix_file_layer(folder.string()),
                                      [] { return std::random_device()(); });
        },
        [](const base::failure&) { return std::unique_ptr<file_storage>(); });
}

/// Replicas in one process. Syncs of different replicas run concurrently, as on three VMs;
/// everything else runs on one thread, and messages are delivered without delay.
class local_cluster {
public:
    local_cluster(std::size_t count, const std::string& name) : m_replicas(count)
    {
        replica_options options;
        for (std::size_t i = 0; i < count; ++i) {
            options.initial_replicas.emplace_back(std::string(1, static_cast<char>('a' + i)));
        }
        for (std::size_t i = 0; i < count; ++i) {
            local_replica& each = m_replicas[i];
            each.folder = fresh_folder(name + options.initial_replicas[i].value());
            each.storage = open_folder(options.initial_replicas[i], each.folder);
            each.queue.emplace(each.storage->hooks());
            each.core.emplace(options, each.storage->take_recovered_state(),
                              [this] { return m_random(); });
            execute_effects(each, each.core->start(m_now));
        }
        while (m_leader == nullptr) {
            m_now += 10ms;
            for (local_replica& each : m_replicas) {
                handle(each, tick{});
            }
            settle();
        }
    }

    ~local_cluster()
    {
        for (local_replica& each : m_replicas) {
            each.storage.reset();
            std::filesystem::remove_all(each.folder);
        }
    }
    local_cluster(const local_cluster&) = delete;
    local_cluster& operator=(const local_cluster&) = delete;

    /// Proposes the commands in one event and returns once they are committed.
    void commit(std::size_t count)
    {
        propose batch;
        for (std::size_t i = 0; i < count; ++i) {
            batch.proposals.push_back(
                {proposal_id(++m_proposed), {std::string(command_bytes, 'x')}});
        }
        handle(*m_leader, std::move(batch));
        while (m_committed < m_proposed) {
            step();
        }
    }

private:
    struct local_replica {
        std::filesystem::path folder;
        std::unique_ptr<file_storage> storage;
        std::optional<persistence_queue> queue;
        std::optional<replica> core;
    };

    void handle(local_replica& to, event happened)
    {
        execute_effects(to, to.core->handle(std::move(happened), m_now));
    }

    void execute_effects(local_replica& from, std::vector<effect> effects)
    {
        for (effect& each : effects) {
            if (from.queue->add(each)) {
                continue;
            }
            if (auto* sent = std::get_if<send_message>(&each)) {
                m_messages.push_back(std::move(sent->content));
            }
            if (const auto* applied = std::get_if<apply_committed>(&each)) {
                m_committed += applied->proposal ? 1 : 0;
            }
            if (std::holds_alternative<became_leader>(each)) {
                m_leader = &from;
            }
            if (const auto* wanted = std::get_if<snapshot_wanted>(&each)) {
                m_snapshots.emplace_back(&from, *wanted);
            }
        }
    }

    void deliver_all()
    {
        while (!m_messages.empty()) {
            envelope delivered = std::move(m_messages.front());
            m_messages.pop_front();
            local_replica& to =
                m_replicas[static_cast<std::size_t>(delivered.to.id.value()[0] - 'a')];
            handle(to, message_received{std::move(delivered)});
        }
        for (auto& [taker, wanted] : std::exchange(m_snapshots, {})) {
            handle(*taker, snapshot_taken{wanted.applied_index, "state"});
        }
    }

    void step()
    {
        deliver_all();
        std::vector<local_replica*> waiting;
        for (local_replica& each : m_replicas) {
            if (!each.queue->empty()) {
                waiting.push_back(&each);
            }
        }
        if (waiting.empty()) {
            return;
        }
        std::vector<std::future<event>> others;
        for (std::size_t i = 1; i < waiting.size(); ++i) {
            others.push_back(std::async(std::launch::async, [owner = waiting[i]] {
                return owner->queue->flush().value();
            }));
        }
        // Runs the first sync on this thread, so that a single sync does not include the cost of
        // starting a thread.
        handle(*waiting[0], waiting[0]->queue->flush().value());
        for (std::size_t i = 1; i < waiting.size(); ++i) {
            handle(*waiting[i], others[i - 1].get());
        }
        deliver_all();
    }

    void settle()
    {
        for (int i = 0; i < 10; ++i) {
            step();
        }
    }

    std::mt19937_64 m_random{1};
    base::time_point m_now;
    std::vector<local_replica> m_replicas;
    std::deque<envelope> m_messages;
    std::vector<std::pair<local_replica*, snapshot_wanted>> m_snapshots;
    local_replica* m_leader = nullptr;
    std::uint64_t m_proposed = 0;
    std::uint64_t m_committed = 0;
};

/// Entries committed per second; arguments: replicas, entries per batch.
void BM_commit(benchmark::State& state)
{
    local_cluster cluster(static_cast<std::size_t>(state.range(0)), "commit_");
    const auto batch = static_cast<std::size_t>(state.range(1));
    for (auto _ : state) {
        cluster.commit(batch);
    }
    state.SetItemsProcessed(state.iterations() * state.range(1));
}
BENCHMARK(BM_commit)
    ->ArgsProduct({{1, 3}, {1, 8, 64, 512}})
    ->Unit(benchmark::kMicrosecond)
    ->UseRealTime();

/// Baseline for BM_commit: the same bytes written and synced to a plain file.
void BM_bare_sync(benchmark::State& state)
{
    const auto folder = fresh_folder("bare");
    const file_layer files = posix_file_layer(folder.string());
    const std::string bytes(static_cast<std::size_t>(state.range(0)) * command_bytes, 'x');
    base::handle_failure(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(handle, files.open(file_name("bare")));
            for (auto _ : state) {
                BOOST_LEAF_CHECK(files.append(handle, bytes));
                BOOST_LEAF_CHECK(files.sync(handle));
            }
            return {};
        },
        [&](const base::failure& failed) { state.SkipWithError(base::to_string(failed).c_str()); });
    state.SetItemsProcessed(state.iterations() * state.range(0));
    std::filesystem::remove_all(folder);
}
BENCHMARK(BM_bare_sync)
    ->Arg(1)
    ->Arg(8)
    ->Arg(64)
    ->Arg(512)
    ->Unit(benchmark::kMicrosecond)
    ->UseRealTime();

/// Time from opening a folder until the replica can vote; argument: entries in the folder. The
/// target is below 1 s for 10,000 entries.
void BM_start(benchmark::State& state)
{
    const replica_id id("a");
    const auto folder = fresh_folder("start");
    {
        auto storage = open_folder(id, folder);
        persistence_queue queue(storage->hooks());
        effect votes = persist_vote{persist_token(1), {term_number(1), std::nullopt}};
        queue.add(votes);
        for (std::int64_t i = 1; i <= state.range(0); ++i) {
            const entry each{log_index(static_cast<std::uint64_t>(i)), term_number(1),
                             command{std::string(command_bytes, 'x')}};
            effect write = persist_entries{persist_token(static_cast<std::uint64_t>(i)), {each}};
            queue.add(write);
        }
        queue.flush();
    }
    for (auto _ : state) {
        auto storage = open_folder(id, folder);
        replica core({}, storage->take_recovered_state(), [] { return 0; });
        benchmark::DoNotOptimize(core.start({}));
        if (core.status().last_index.value() != static_cast<std::uint64_t>(state.range(0))) {
            state.SkipWithError("entries are missing");
        }
    }
    std::filesystem::remove_all(folder);
}
BENCHMARK(BM_start)->Arg(10'000)->Arg(100'000)->Unit(benchmark::kMillisecond)->UseRealTime();

} // namespace
} // namespace damaskladder::consensus
