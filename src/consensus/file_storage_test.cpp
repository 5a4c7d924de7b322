#include "consensus/fake_disk.hpp"
#include "consensus/file_encoding.hpp"
#include "consensus/file_storage.hpp"
#include "consensus/folder_names.hpp"
#include "consensus/persistence_queue.hpp"
#include "consensus/posix_file_layer.hpp"
#include "consensus/segment_scan.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>

namespace damaskladder::consensus {
namespace {

constexpr std::uint64_t first_nonce = 77;

struct open_outcome {
    std::unique_ptr<file_storage> storage;
    base::failure error;
};

open_outcome open_files(file_layer files, file_storage_options options = {replica_id("a")})
{
    open_outcome outcome;
    outcome.storage = base::handle_failure(
        [&] {
            return file_storage::open(std::move(options), std::move(files),
                                      [] { return first_nonce; });
        },
        [&](const base::failure& error) {
            outcome.error = error;
            return std::unique_ptr<file_storage>();
        });
    return outcome;
}

base::failure error_of(const std::function<base::result<void>()>& call)
{
    base::failure error;
    base::handle_failure([&]() -> base::result<void> { return call(); },
                         [&](const base::failure& failed) { error = failed; });
    return error;
}

entry command_entry(std::uint64_t index, std::uint64_t term = 1, std::size_t size = 20)
{
    return {log_index(index), term_number(term), command{std::string(size, 'x')}};
}

std::shared_ptr<const snapshot> snapshot_at(std::uint64_t index, std::string state = "state")
{
    const configuration members{
        config_id(1), {{{replica_id("a"), identity_nonce(first_nonce)}, member_role::voter}}};
    return std::make_shared<const snapshot>(
        snapshot{log_index(index), term_number(1), members, std::move(state)});
}

event write(file_storage& storage, std::vector<effect> effects)
{
    persistence_queue queue(storage.hooks());
    for (effect& each : effects) {
        EXPECT_TRUE(queue.add(each));
    }
    return queue.flush().value();
}

bool synced(const event& outcome)
{
    return std::holds_alternative<sync_completed>(outcome);
}

effect entries_effect(std::uint64_t first, std::uint64_t last, std::uint64_t term = 1)
{
    persist_entries effect{persist_token(first), {}};
    for (std::uint64_t i = first; i <= last; ++i) {
        effect.entries.push_back(command_entry(i, term));
    }
    return effect;
}

/// Fills a folder with term 1, entries 1 to 4 in the first segment, synced in two batches, and
/// entry 5 in the second segment.
void fill(fake_disk& disk)
{
    file_storage_options options{replica_id("a")};
    options.segment_size = base::byte_count(300);
    auto opened = open_files(disk.layer(), options);
    const hard_state votes{term_number(1), replica_identity{replica_id("b"), identity_nonce(5)}};
    ASSERT_TRUE(synced(
        write(*opened.storage, {persist_vote{persist_token(1), votes}, entries_effect(1, 2)})));
    ASSERT_TRUE(synced(write(*opened.storage, {entries_effect(3, 4)})));
    ASSERT_TRUE(synced(write(*opened.storage, {entries_effect(5, 5)})));
}

file_name first_segment()
{
    return segment_file(segment_number(1));
}

file_name last_segment()
{
    return segment_file(segment_number(2));
}

void flip(fake_disk& disk, const file_name& name, std::size_t offset)
{
    std::string content = disk.read_content(name);
    ASSERT_LT(offset, content.size());
    content[offset] = static_cast<char>(content[offset] ^ 1);
    disk.write_content(name, content);
}

void append(fake_disk& disk, const file_name& name, const std::string& bytes)
{
    disk.write_content(name, disk.read_content(name) + bytes);
}

void cut(fake_disk& disk, const file_name& name, std::size_t bytes)
{
    const std::string content = disk.read_content(name);
    disk.write_content(name, content.substr(0, content.size() - bytes));
}

struct malformed_case {
    const char* name;
    std::function<void(fake_disk&)> damage;
    /// Number of recovered entries, if the folder can be opened.
    std::size_t entries;
    base::failure_kind kind = base::failure_kind::internal;
    const char* file = "";
    const char* text = "";
};

void PrintTo(const malformed_case& value, std::ostream* out)
{
    *out << value.name;
}

class malformed_folders : public testing::TestWithParam<malformed_case> {};

// Guards against acknowledged records that are truncated as torn writes, and against a start that
// is refused because of a record that was never acknowledged.
TEST_P(malformed_folders, are_cut_or_refused)
{
    fake_disk disk;
    fill(disk);
    GetParam().damage(disk);
    auto opened = open_files(disk.layer());
    if (GetParam().kind == base::failure_kind::internal) {
        ASSERT_TRUE(opened.storage) << base::to_string(opened.error);
        EXPECT_EQ(opened.storage->take_recovered_state().entries.size(), GetParam().entries);
        // The folder accepts further entries and can be opened again.
        ASSERT_TRUE(synced(write(
            *opened.storage, {entries_effect(GetParam().entries + 1, GetParam().entries + 1)})));
        auto again = open_files(disk.layer());
        ASSERT_TRUE(again.storage) << base::to_string(again.error);
        EXPECT_EQ(again.storage->take_recovered_state().entries.size(), GetParam().entries + 1);
        return;
    }
    ASSERT_FALSE(opened.storage);
    EXPECT_EQ(opened.error.kind, GetParam().kind);
    EXPECT_EQ(opened.error.peer, GetParam().file);
    EXPECT_NE(opened.error.text.find(GetParam().text), std::string::npos) << opened.error.text;
}

constexpr auto corrupt = base::failure_kind::corrupt;
constexpr const char* segment_one = "segment-00000000000000000001";
constexpr const char* segment_two = "segment-00000000000000000002";
constexpr const char* remedy = "add its new identity";

INSTANTIATE_TEST_SUITE_P(
    table, malformed_folders,
    testing::Values(
        malformed_case{"intact", [](fake_disk&) {}, 5},
        malformed_case{"torn_sync_report", [](fake_disk& disk) { cut(disk, last_segment(), 1); },
                       5},
        malformed_case{"torn_record", [](fake_disk& disk) { cut(disk, last_segment(), 40); }, 4},
        malformed_case{"zeros_behind_the_end",
                       [](fake_disk& disk) { append(disk, last_segment(), std::string(99, '\0')); },
                       5},
        malformed_case{"garbage_behind_the_end",
                       [](fake_disk& disk) { append(disk, last_segment(), "DFM1garbage"); }, 5},
        malformed_case{"frames_of_another_segment",
                       [](fake_disk& disk) {
                           append(disk, last_segment(), disk.read_content(first_segment()));
                       },
                       5},
        malformed_case{"last_synced_record",
                       [](fake_disk& disk) { flip(disk, last_segment(), 40); }, 0, corrupt,
                       segment_two, "offset 0"},
        malformed_case{"first_record", [](fake_disk& disk) { flip(disk, first_segment(), 0); }, 0,
                       corrupt, segment_one, "offset 0"},
        malformed_case{"second_record", [](fake_disk& disk) { flip(disk, first_segment(), 70); }, 0,
                       corrupt, segment_one, "offset 69"},
        malformed_case{"length_of_record", [](fake_disk& disk) { flip(disk, first_segment(), 7); },
                       0, corrupt, segment_one, remedy},
        malformed_case{"end_of_first_segment",
                       [](fake_disk& disk) { cut(disk, first_segment(), 1); }, 0, corrupt,
                       segment_one, "before the last segment"},
        malformed_case{"segment_missing",
                       [](fake_disk& disk) { (void)disk.layer().remove(first_segment()); }, 0,
                       corrupt, segment_one, "missing"},
        malformed_case{"identity_missing",
                       [](fake_disk& disk) { (void)disk.layer().remove(identity_file()); }, 0,
                       corrupt, "identity", "missing"},
        malformed_case{"identity_damaged", [](fake_disk& disk) { flip(disk, identity_file(), 30); },
                       0, corrupt, "identity", "checksum"},
        malformed_case{"identity_empty",
                       [](fake_disk& disk) { disk.write_content(identity_file(), ""); }, 0, corrupt,
                       "identity", remedy},
        malformed_case{"vote_missing",
                       [](fake_disk& disk) { (void)disk.layer().remove(vote_file()); }, 0, corrupt,
                       "vote", "missing"},
        malformed_case{"vote_damaged", [](fake_disk& disk) { flip(disk, vote_file(), 25); }, 0,
                       corrupt, "vote", "checksum"},
        malformed_case{"vote_is_another_kind_of_file",
                       [](fake_disk& disk) {
                           disk.write_content(vote_file(), disk.read_content(identity_file()));
                       },
                       0, corrupt, "vote", "file type"},
        malformed_case{
            "snapshot_damaged",
            [](fake_disk& disk) { disk.write_content(snapshot_file(log_index(3)), "DLSNAPS1"); }, 0,
            corrupt, "snapshot-00000000000000000003", "checksum"},
        malformed_case{
            "left_over_temporary",
            [](fake_disk& disk) { disk.write_content(temporary_file(last_segment()), "half"); },
            5}),
    [](const auto& each) { return std::string(each.param.name); });

// Guards against a crash, a hang or a fabricated entry when a file contains arbitrary bytes.
TEST(file_parser, survives_random_bytes)
{
    fake_disk original;
    fill(original);
    const std::vector<entry> expected =
        open_files(original.layer()).storage->take_recovered_state().entries;
    std::mt19937_64 random(1);
    constexpr int rounds = 3000;
    int opened_count = 0;
    for (int round = 0; round < rounds; ++round) {
        fake_disk disk;
        fill(disk);
        const std::vector<file_name> names = disk.names();
        const file_name& name = names[random() % names.size()];
        std::string content = disk.read_content(name);
        const std::size_t from = random() % (content.size() + 1);
        const std::size_t length = random() % 64;
        std::string noise(random() % 64, '\0');
        std::generate(noise.begin(), noise.end(), [&] { return static_cast<char>(random()); });
        disk.write_content(name, content.replace(from, length, noise));
        const auto opened = open_files(disk.layer());
        if (opened.storage) {
            ++opened_count;
            const auto entries = opened.storage->take_recovered_state().entries;
            ASSERT_LE(entries.size(), expected.size()) << "round " << round;
            ASSERT_TRUE(std::equal(entries.begin(), entries.end(), expected.begin()))
                << "round " << round;
        }
    }
    EXPECT_GT(opened_count, 0);
    EXPECT_LT(opened_count, rounds);
}

// Guards against decoders that read past the end or trust an encoded count.
TEST(file_parser, decodes_random_bytes)
{
    std::mt19937_64 random(2);
    for (int round = 0; round < 20'000; ++round) {
        std::string bytes(random() % 200, '\0');
        // Small byte values produce plausible lengths and counts.
        std::generate(bytes.begin(), bytes.end(), [&] {
            return static_cast<char>(random() % 4 == 0 ? random() : random() % 3);
        });
        if (const auto decoded = decode_entry(bytes)) {
            EXPECT_EQ(encode_entry(*decoded), bytes);
        }
        if (const auto decoded = decode_snapshot(bytes)) {
            EXPECT_EQ(encode_snapshot(*decoded), bytes);
        }
        decode_hard_state(bytes);
        decode_identity(bytes);
        if (const auto decoded = decode_formation(bytes)) {
            EXPECT_EQ(encode_formation(*decoded), bytes);
        }
        EXPECT_TRUE(scan_segment(segment_number(1), bytes, base::byte_count(100)).entries.empty());
    }
}

struct bound_case {
    const char* name;
    std::function<base::result<void>(file_storage&, std::size_t)> write;
    std::size_t largest;
};

void PrintTo(const bound_case& value, std::ostream* out)
{
    *out << value.name;
}

class storage_bounds : public testing::TestWithParam<bound_case> {};

// Guards against a record that can be written but not read at the next start.
TEST_P(storage_bounds, refuse_only_what_is_larger)
{
    file_storage_options options{replica_id("a")};
    options.max_record = base::byte_count(100);
    options.max_snapshot_file = base::byte_count(200);
    fake_disk disk;
    auto opened = open_files(disk.layer(), options);
    const hard_state votes{term_number(1), std::nullopt};
    ASSERT_TRUE(synced(write(*opened.storage, {persist_vote{persist_token(1), votes}})));
    file_storage& storage = *opened.storage;
    const auto attempt = [&](std::size_t size) {
        return error_of([&] { return GetParam().write(storage, size); });
    };
    EXPECT_EQ(attempt(GetParam().largest), base::failure());
    EXPECT_EQ(error_of([&] { return storage.sync(); }), base::failure());
    EXPECT_TRUE(open_files(disk.layer(), options).storage);
    EXPECT_EQ(attempt(GetParam().largest + 1).kind, base::failure_kind::too_large);
    EXPECT_EQ(error_of([&] { return storage.sync(); }).kind, base::failure_kind::unavailable);
}

INSTANTIATE_TEST_SUITE_P(
    table, storage_bounds,
    testing::Values(
        bound_case{
            "entry",
            [](file_storage& storage, std::size_t size) {
                return storage.write_entries({persist_token(2), {command_entry(1, 1, size)}});
            },
            83},
        bound_case{"snapshot",
                   [](file_storage& storage, std::size_t size) {
                       return storage.write_snapshot({persist_token(2),
                                                      snapshot_at(4, std::string(size, 's')),
                                                      log_disposition::keep_suffix});
                   },
                   126}),
    [](const auto& each) { return std::string(each.param.name); });

// Guards against an acknowledgement of a failed write or sync, and against any later
// acknowledgement by the same process.
TEST(file_storage, stops_at_the_first_failure)
{
    for (std::uint64_t operation = 1; operation <= 60; ++operation) {
        fake_disk disk;
        auto opened = open_files(disk.layer());
        disk.fail_at(disk.operations() + operation, false);
        bool failed = false;
        for (std::uint64_t i = 1; i <= 20; ++i) {
            const event outcome =
                write(*opened.storage,
                      {persist_vote{persist_token(i), {term_number(i), {}}}, entries_effect(i, i)});
            EXPECT_FALSE(failed && synced(outcome)) << "operation " << operation;
            failed = failed || !synced(outcome);
        }
        EXPECT_TRUE(failed);
    }
}

// Guards against a replica that is lost for good because its disk was full for a while, and against
// entries that are lost or written twice when the write is repeated.
TEST(file_storage, continues_where_a_full_disk_stopped_it)
{
    file_storage_options options{replica_id("a")};
    options.segment_size = base::byte_count(300);
    const hard_state votes{term_number(2), std::nullopt};
    bool stopped = true;
    for (std::uint64_t point = 1; stopped; ++point) {
        fake_disk disk;
        fill(disk);
        auto opened = open_files(disk.layer(), options);
        persistence_queue queue(opened.storage->hooks());
        std::vector<effect> effects = {
            persist_vote{persist_token(6), votes}, entries_effect(6, 8),
            persist_snapshot{persist_token(9), snapshot_at(6), log_disposition::keep_suffix},
            entries_effect(9, 10)};
        for (effect& each : effects) {
            ASSERT_TRUE(queue.add(each));
        }
        disk.fill_up_at(disk.operations() + point);
        auto outcome = queue.flush();
        stopped = !outcome.has_value();
        if (stopped) {
            EXPECT_FALSE(queue.empty());
            EXPECT_EQ(queue.full_cause()->kind, base::failure_kind::no_space);
            EXPECT_FALSE(queue.flush().has_value()) << "point " << point;
            disk.make_room();
            outcome = queue.flush();
        }
        ASSERT_TRUE(outcome.has_value()) << base::to_string(*queue.full_cause());
        ASSERT_TRUE(synced(*outcome)) << base::to_string(std::get<storage_failed>(*outcome).cause);
        EXPECT_EQ(std::get<sync_completed>(*outcome).token, persist_token(9));
        EXPECT_TRUE(queue.empty());
        opened.storage.reset();
        disk.make_room();
        disk.crash(unsynced_data::lost);
        auto again = open_files(disk.layer(), options);
        ASSERT_TRUE(again.storage) << base::to_string(again.error);
        const recovered_state state = again.storage->take_recovered_state();
        EXPECT_EQ(state.election_state, votes);
        ASSERT_TRUE(state.newest_snapshot);
        EXPECT_EQ(*state.newest_snapshot, *snapshot_at(6));
        const std::vector<entry> expected = {command_entry(7), command_entry(8), command_entry(9),
                                             command_entry(10)};
        EXPECT_EQ(state.entries, expected) << "point " << point;
    }
}

struct snapshot_case {
    log_disposition log;
    std::vector<std::uint64_t> kept;
};

class stored_snapshots : public testing::TestWithParam<snapshot_case> {};

// Guards against entries replaced by a snapshot that reappear after a crash at any point.
TEST_P(stored_snapshots, decide_what_remains_of_the_log)
{
    bool finished = false;
    for (std::uint64_t point = 1; !finished; ++point) {
        fake_disk disk;
        fill(disk);
        auto opened = open_files(disk.layer());
        disk.fail_at(disk.operations() + point, true);
        finished = synced(write(
            *opened.storage, {persist_snapshot{persist_token(9), snapshot_at(3), GetParam().log}}));
        opened.storage.reset();
        disk.crash(point % 2 == 0 ? unsynced_data::lost : unsynced_data::kept);
        auto again = open_files(disk.layer());
        ASSERT_TRUE(again.storage) << base::to_string(again.error);
        const recovered_state state = again.storage->take_recovered_state();
        std::vector<std::uint64_t> indexes;
        for (const entry& each : state.entries) {
            indexes.push_back(each.index.value());
        }
        if (state.newest_snapshot) {
            EXPECT_EQ(*state.newest_snapshot, *snapshot_at(3));
            EXPECT_EQ(indexes, GetParam().kept);
        }
        else {
            EXPECT_FALSE(finished);
            EXPECT_EQ(indexes.size(), 5U);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(table, stored_snapshots,
                         testing::Values(snapshot_case{log_disposition::keep_suffix, {4, 5}},
                                         snapshot_case{log_disposition::discard_all, {}}));

struct formation_case {
    std::string name;
    /// Options of the starts of one folder, one after the other.
    std::vector<std::vector<replica_id>> starts;
    std::vector<replica_id> expected;
};

class stored_formations : public testing::TestWithParam<formation_case> {};

// Guards against replicas that may form a cluster and forget it when they restart before they have.
TEST_P(stored_formations, outlast_a_restart)
{
    fake_disk disk;
    std::vector<replica_id> last;
    for (const auto& initial : GetParam().starts) {
        file_storage_options options{replica_id("a")};
        options.initial_replicas = initial;
        auto opened = open_files(disk.layer(), options);
        ASSERT_TRUE(opened.storage) << base::to_string(opened.error);
        last = opened.storage->take_recovered_state().initial_replicas;
        opened.storage.reset();
        disk.crash(unsynced_data::lost);
    }
    EXPECT_EQ(last, GetParam().expected);
}

const std::vector<replica_id> three = {replica_id("a"), replica_id("b"), replica_id("c")};
const std::vector<replica_id> others = {replica_id("a"), replica_id("d")};

INSTANTIATE_TEST_SUITE_P(table, stored_formations,
                         testing::Values(formation_case{"first_start", {three}, three},
                                         formation_case{"restart", {three, {}}, three},
                                         formation_case{
                                             "restart_with_others", {three, others}, three},
                                         formation_case{"joined_later", {{}, {}}, {}}),
                         [](const auto& each) { return each.param.name; });

// Guards against differences between fake_disk and real files, and against a folder used by two
// processes or by another replica.
TEST(file_storage, works_on_real_files)
{
    const std::string folder = testing::TempDir() + "consensus_real_files";
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    auto opened = open_files(posix_file_layer(folder));
    ASSERT_TRUE(opened.storage) << base::to_string(opened.error);
    const replica_identity identity = opened.storage->take_recovered_state().identity;
    EXPECT_EQ(open_files(posix_file_layer(folder)).error.kind, base::failure_kind::conflict);
    const hard_state votes{term_number(2), identity};
    ASSERT_TRUE(synced(
        write(*opened.storage,
              {persist_vote{persist_token(1), votes}, entries_effect(1, 6), entries_effect(5, 5, 2),
               persist_snapshot{persist_token(9), snapshot_at(3), log_disposition::keep_suffix}})));
    opened.storage.reset();
    EXPECT_EQ(open_files(posix_file_layer(folder), {replica_id("b")}).error.kind,
              base::failure_kind::conflict);
    auto again = open_files(posix_file_layer(folder));
    ASSERT_TRUE(again.storage) << base::to_string(again.error);
    const recovered_state state = again.storage->take_recovered_state();
    EXPECT_EQ(state.identity, identity);
    EXPECT_EQ(state.election_state, votes);
    EXPECT_EQ(*state.newest_snapshot, *snapshot_at(3));
    EXPECT_EQ(state.entries, (std::vector<entry>{command_entry(4), command_entry(5, 2)}));
    std::filesystem::remove_all(folder);
    EXPECT_EQ(open_files(posix_file_layer(folder)).error.kind, base::failure_kind::io);
}

} // namespace
} // namespace damaskladder::consensus
