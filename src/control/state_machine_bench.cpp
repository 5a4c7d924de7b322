#include "control/command_codec.hpp"
#include "control/state_machine.hpp"
#include "settings/fleet_settings_bench.hpp"

#include <benchmark/benchmark.h>

#include <cstdlib>
#include <string>
#include <utility>

namespace damaskladder::control {
namespace {

settings::setting_path path_of(const std::string& text)
{
    return settings::setting_path::parse(text).value_or(settings::setting_path());
}

/// A state machine with the settings of a fleet, and a generator of commands for it.
class fleet_driver {
public:
    explicit fleet_driver(int teams) : m_teams(teams)
    {
        credential admin{base::operator_id("mara"), credential_role::admin, {}, {}};
        apply(create_credential{header(), admin});
        auto tree = settings::fleet_settings(teams);
        replace("fleet", tree);
        for (int i = 0; i < teams; ++i) {
            replace("teams/t" + std::to_string(i), tree);
        }
    }

    reply apply(const command& entry)
    {
        ++m_position;
        return machine.apply({log_position(m_position), m_now}, entry);
    }

    /// Changes the rate of one workspace, cycling through the teams.
    change_settings next_change()
    {
        auto team = std::to_string(m_change % m_teams);
        auto path = path_of("teams/t" + team + "/workspaces/w" + team + ".0");
        settings::field_name field("rate");
        settings::field_value rate(std::to_string(1 + m_change) + "/s");
        const auto* present = machine.tree().find(path, field);
        settings::setting_diff diff;
        diff.changes.push_back({settings::change_kind::changed, path, field, *present, rate});
        ++m_change;
        return {header(), path_of("teams/t" + team), machine.version_of(path), diff};
    }

    claim_request next_claim()
    {
        ++m_claim;
        auto id = std::to_string(m_now.time_since_epoch() / std::chrono::seconds(1)) + "-" +
                  std::to_string(m_claim);
        return {{base::workspace_id("w1.0"), base::request_id(id)},
                base::attempt_id(m_claim),
                base::node_id("node-1"),
                {}};
    }

    void advance_clock(base::wall_clock::duration time) { m_now += time; }

    /// Replaces the subtree; the change must be accepted.
    void replace(const std::string& root, const settings::setting_tree& tree)
    {
        const auto path = path_of(root);
        change_settings change{header(), path, machine.version_of(path), tree.subtree(path)};
        auto answer = std::get<change_reply>(apply(change));
        if (answer.verdict != change_verdict::accepted) {
            std::abort();
        }
    }

    state_machine machine;

private:
    command_header header()
    {
        ++m_id;
        return {base::change_id("change-" + std::to_string(m_id)), base::operator_id("mara"),
                m_now};
    }

    int m_teams;
    std::uint64_t m_position = 0;
    std::uint64_t m_id = 0;
    std::uint64_t m_claim = 0;
    int m_change = 0;
    base::wall_time m_now{std::chrono::seconds(1'800'000'000)};
};

void BM_apply_change(benchmark::State& state)
{
    fleet_driver driver(static_cast<int>(state.range(0)));
    for (auto _ : state) {
        state.PauseTiming();
        command change = driver.next_change();
        state.ResumeTiming();
        auto answer = driver.apply(change);
        if (std::get<change_reply>(answer).verdict != change_verdict::accepted) {
            state.SkipWithError("the change was refused");
            break;
        }
    }
}
BENCHMARK(BM_apply_change)->Arg(10)->Arg(190)->Unit(benchmark::kMicrosecond);

/// Adds many routes in one change, as a large document does, and removes them again. Each iteration
/// is two changes.
void BM_apply_many_routes(benchmark::State& state)
{
    constexpr int teams = 10;
    fleet_driver driver(teams);
    const auto root = path_of("teams/t0");
    const auto few = driver.machine.tree().subtree(root);
    auto many = few;
    for (int i = 0; i < state.range(0); ++i) {
        const auto path = path_of("teams/t0/routes/many" + std::to_string(i));
        many.set(path, settings::field_name("prefix"),
                 settings::field_value("/many" + std::to_string(i)));
        many.set(path, settings::field_name("service"), settings::field_value("s0"));
        many.set(path, settings::field_name("idempotent"), settings::field_value("yes"));
        many.set(path, settings::field_name("open"), settings::field_value("yes"));
    }
    for (auto _ : state) {
        driver.replace("teams/t0", many);
        driver.replace("teams/t0", few);
    }
}
BENCHMARK(BM_apply_many_routes)->Arg(50)->Arg(400)->Arg(1'500)->Unit(benchmark::kMillisecond);

void BM_pre_check_change(benchmark::State& state)
{
    fleet_driver driver(static_cast<int>(state.range(0)));
    command change = driver.next_change();
    for (auto _ : state) {
        benchmark::DoNotOptimize(driver.machine.pre_check({}, change));
    }
}
BENCHMARK(BM_pre_check_change)->Arg(10)->Arg(190)->Unit(benchmark::kMicrosecond);

/// Claims and completes one request while the given number of claims is retained.
void BM_apply_claim(benchmark::State& state)
{
    fleet_driver driver(1);
    auto kept = state.range(0);
    auto interval = base::wall_clock::duration(std::chrono::minutes(10)) / kept;
    for (std::int64_t i = 0; i < kept; ++i) {
        driver.advance_clock(interval);
        driver.apply(driver.next_claim());
    }
    for (auto _ : state) {
        driver.advance_clock(interval);
        auto claim = driver.next_claim();
        driver.apply(claim);
        driver.apply(complete_claim{claim.key, claim.attempt});
    }
    state.counters["claims"] = static_cast<double>(driver.machine.status().claims);
}
BENCHMARK(BM_apply_claim)->Arg(1'000)->Arg(100'000)->Unit(benchmark::kMicrosecond);

void BM_claim_codec(benchmark::State& state)
{
    fleet_driver driver(1);
    command claim = driver.next_claim();
    std::size_t bytes = 0;
    for (auto _ : state) {
        auto encoded = encode(claim);
        bytes = encoded.size();
        benchmark::DoNotOptimize(decode_command(encoded));
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(BM_claim_codec)->Unit(benchmark::kMicrosecond);

/// A state after 10,000 changes to a fleet of 190 teams, with the given number of claims.
class changed_fleet {
public:
    explicit changed_fleet(std::int64_t claims) : driver(190)
    {
        for (int i = 0; i < 10'000; ++i) {
            driver.apply(driver.next_change());
        }
        for (std::int64_t i = 0; i < claims; ++i) {
            driver.apply(driver.next_claim());
        }
    }

    fleet_driver driver;
};

void BM_restore_after_10000_changes(benchmark::State& state)
{
    changed_fleet prepared(state.range(0));
    auto bytes = prepared.driver.machine.snapshot();
    for (auto _ : state) {
        state_machine restored;
        auto done = restored.restore(bytes);
        if (!done) {
            state.SkipWithError("the snapshot was refused");
            break;
        }
    }
    state.counters["bytes"] = static_cast<double>(bytes.size());
}
BENCHMARK(BM_restore_after_10000_changes)->Arg(0)->Arg(100'000)->Unit(benchmark::kMillisecond);

void BM_snapshot_after_10000_changes(benchmark::State& state)
{
    changed_fleet prepared(state.range(0));
    for (auto _ : state) {
        benchmark::DoNotOptimize(prepared.driver.machine.snapshot());
    }
}
BENCHMARK(BM_snapshot_after_10000_changes)->Arg(0)->Arg(100'000)->Unit(benchmark::kMillisecond);

/// Recovery without a snapshot: decodes and applies a log of 10,000 changes.
void BM_replay_10000_changes(benchmark::State& state)
{
    fleet_driver recorded(190);
    std::vector<std::vector<std::uint8_t>> log;
    for (int i = 0; i < 10'000; ++i) {
        command change = recorded.next_change();
        log.push_back(encode(change));
        recorded.apply(change);
    }
    for (auto _ : state) {
        state.PauseTiming();
        fleet_driver replayed(190);
        state.ResumeTiming();
        for (const auto& bytes : log) {
            if (auto entry = decode_command(bytes)) {
                replayed.apply(entry.value());
            }
        }
        if (replayed.machine.tree() != recorded.machine.tree()) {
            state.SkipWithError("the replay produced different settings");
        }
        state.PauseTiming();
        {
            auto discarded = std::move(replayed);
        }
        state.ResumeTiming();
    }
}
BENCHMARK(BM_replay_10000_changes)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace damaskladder::control
