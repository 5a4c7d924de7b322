#include "consensus/folder_recovery.hpp"

#include "consensus/atomic_write.hpp"
#include "consensus/checksummed_file.hpp"
#include "consensus/file_encoding.hpp"
#include "consensus/file_magics.hpp"
#include "consensus/folder_names.hpp"
#include "consensus/segment_scan.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace damaskladder::consensus {

namespace {

/// Maximum size of the identity and vote files.
constexpr base::byte_count max_small_file{64 << 10};

/// Maximum size by which the last batch can make a segment exceed segment_size.
constexpr base::byte_count max_batch{1 << 30};

constexpr std::string_view remedy =
    "; keep a copy, empty the data folder, start the replica again and add its new identity to the "
    "cluster (a majority of the other replicas must be intact)";

} // namespace

base::result<recovered_folder> folder_recovery::run(const base::random_source& random)
{
    BOOST_LEAF_CHECK(m_files.lock());
    BOOST_LEAF_CHECK(classify_files());
    BOOST_LEAF_CHECK(remove_temporaries());
    // Before the identity, so that a folder with an identity has its formation.
    BOOST_LEAF_CHECK(load_formation());
    BOOST_LEAF_CHECK(load_identity(random));
    BOOST_LEAF_CHECK(load_snapshot());
    BOOST_LEAF_CHECK(load_segments());
    BOOST_LEAF_CHECK(load_hard_state());
    BOOST_LEAF_CHECK(remove_obsolete_files());
    // Renames made by the previous run may be visible but not yet durable.
    BOOST_LEAF_CHECK(m_files.sync_folder());
    return std::move(m_result);
}

base::result<void> folder_recovery::classify_files()
{
    BOOST_LEAF_AUTO(names, m_files.list());
    for (const file_name& name : names) {
        if (is_temporary(name)) {
            m_temporaries.push_back(name);
        }
        else if (const auto segment = segment_of(name)) {
            m_segments.push_back(*segment);
        }
        else if (const auto last_index = snapshot_of(name)) {
            m_snapshots.push_back(*last_index);
        }
        m_has_identity_file = m_has_identity_file || name == identity_file();
        m_has_formation_file = m_has_formation_file || name == formation_file();
        m_has_vote_file = m_has_vote_file || name == vote_file();
    }
    std::sort(m_segments.begin(), m_segments.end());
    std::sort(m_snapshots.begin(), m_snapshots.end());
    return {};
}

base::result<void> folder_recovery::load_formation()
{
    if (!m_has_formation_file) {
        m_result.state.initial_replicas = m_options.initial_replicas;
        if (m_has_identity_file || m_options.initial_replicas.empty()) {
            return {};
        }
        return write_atomically(
            m_files, formation_file(),
            encode_checksummed(formation_magic, encode_formation(m_options.initial_replicas)));
    }
    BOOST_LEAF_AUTO(payload, read_checksummed(formation_file(), formation_magic, max_small_file));
    auto initial_replicas = decode_formation(payload);
    if (!initial_replicas) {
        return fail_corrupt(formation_file(), {}, "the content cannot be decoded");
    }
    m_result.state.initial_replicas = std::move(*initial_replicas);
    return {};
}

base::result<void> folder_recovery::load_identity(const base::random_source& random)
{
    if (!m_has_identity_file) {
        if (m_has_vote_file || !m_segments.empty() || !m_snapshots.empty()) {
            return fail_corrupt(identity_file(), {}, "the file is missing");
        }
        identity_nonce nonce;
        while (nonce == unknown_nonce) {
            nonce = identity_nonce(random());
        }
        m_result.state.identity = {m_options.id, nonce};
        return write_atomically(
            m_files, identity_file(),
            encode_checksummed(identity_magic, encode_identity(m_result.state.identity)));
    }
    BOOST_LEAF_AUTO(payload, read_checksummed(identity_file(), identity_magic, max_small_file));
    const auto identity = decode_identity(payload);
    if (!identity) {
        return fail_corrupt(identity_file(), {}, "the content cannot be decoded");
    }
    if (identity->id != m_options.id) {
        return base::fail(
            base::failure_kind::conflict, "open data folder", m_files.path(identity_file()),
            "the folder belongs to replica " + identity->id.value() + ", the settings name " +
                m_options.id.value() + "; correct the id or the folder in the settings");
    }
    m_result.state.identity = *identity;
    return {};
}

base::result<void> folder_recovery::load_hard_state()
{
    if (!m_has_vote_file) {
        // Term and vote are always stored before the first entry and the first snapshot.
        const auto& state = m_result.state;
        if (!state.entries.empty() || state.newest_snapshot) {
            return fail_corrupt(vote_file(), {}, "the file is missing");
        }
        return {};
    }
    BOOST_LEAF_AUTO(payload, read_checksummed(vote_file(), vote_magic, max_small_file));
    auto votes = decode_hard_state(payload);
    if (!votes) {
        return fail_corrupt(vote_file(), {}, "the content cannot be decoded");
    }
    m_result.state.election_state = std::move(*votes);
    return {};
}

base::result<void> folder_recovery::load_snapshot()
{
    m_result.first_segment = segment_number(1);
    if (m_snapshots.empty()) {
        return {};
    }
    const file_name name = snapshot_file(m_snapshots.back());
    BOOST_LEAF_AUTO(payload, read_checksummed(name, snapshot_magic, m_options.max_snapshot_file));
    auto stored = decode_snapshot(payload);
    if (!stored || stored->content->last_index != m_snapshots.back()) {
        return fail_corrupt(name, {}, "the content cannot be decoded");
    }
    m_result.state.newest_snapshot = stored->content;
    m_result.first_segment = stored->first_segment;
    return {};
}

base::result<void> folder_recovery::load_segments()
{
    segment_number expected = m_result.first_segment;
    for (const segment_number number : m_segments) {
        if (number < m_result.first_segment) {
            continue;
        }
        if (number != expected) {
            return fail_corrupt(segment_file(expected), {}, "the file is missing");
        }
        BOOST_LEAF_CHECK(load_segment(number, number == m_segments.back()));
        expected = next_segment(expected);
    }
    return drop_entries_covered_by_snapshot();
}

base::result<void> folder_recovery::load_segment(segment_number number, bool is_last)
{
    const file_name name = segment_file(number);
    BOOST_LEAF_AUTO(content, m_files.read(name, m_options.segment_size + max_batch));
    segment_scan scan = scan_segment(number, content, m_options.max_record);
    if (scan.integrity == segment_integrity::corrupted) {
        return fail_corrupt(name, scan.valid_size, "a synced record cannot be read");
    }
    if (scan.integrity == segment_integrity::torn_tail && !is_last) {
        return fail_corrupt(name, scan.valid_size,
                            "a record before the last segment cannot be read");
    }
    if (is_last) {
        // Rewrites the file even if it is intact: the previous run may have ended with a failed
        // sync, after which the kernel returns the unsynced bytes on read but does not write them
        // again.
        content.resize(static_cast<std::size_t>(scan.valid_size.value()));
        BOOST_LEAF_CHECK(write_atomically(m_files, name, content));
        m_result.last_segment_size = scan.valid_size;
    }
    m_result.segments.push_back({number, log_index()});
    return replay(number, std::move(scan.entries));
}

base::result<void> folder_recovery::replay(segment_number number, std::vector<entry> entries)
{
    auto& log = m_result.state.entries;
    for (entry& each : entries) {
        while (!log.empty() && log.back().index >= each.index) {
            log.pop_back();
        }
        if (!log.empty() && each.index != index_after(log.back().index)) {
            return fail_corrupt(segment_file(number), {},
                                "entry " + std::to_string(log.back().index.value() + 1) +
                                    " is missing");
        }
        auto& max_index = m_result.segments.back().max_index;
        max_index = std::max(max_index, each.index);
        log.push_back(std::move(each));
    }
    return {};
}

base::result<void> folder_recovery::drop_entries_covered_by_snapshot()
{
    auto& log = m_result.state.entries;
    const auto& newest = m_result.state.newest_snapshot;
    const log_index last = newest ? newest->last_index : log_index();
    const auto first_kept =
        std::find_if(log.begin(), log.end(), [&](const entry& each) { return each.index > last; });
    log.erase(log.begin(), first_kept);
    if (!log.empty() && log.front().index != index_after(last)) {
        return fail_corrupt(segment_file(m_result.first_segment), {},
                            "entry " + std::to_string(last.value() + 1) + " is missing");
    }
    return {};
}

base::result<void> folder_recovery::remove_temporaries()
{
    for (const file_name& name : m_temporaries) {
        BOOST_LEAF_CHECK(m_files.remove(name));
    }
    return {};
}

base::result<void> folder_recovery::remove_obsolete_files()
{
    for (const segment_number number : m_segments) {
        if (number < m_result.first_segment) {
            BOOST_LEAF_CHECK(m_files.remove(segment_file(number)));
        }
    }
    for (const log_index last_index : m_snapshots) {
        if (last_index != m_snapshots.back()) {
            BOOST_LEAF_CHECK(m_files.remove(snapshot_file(last_index)));
        }
    }
    return {};
}

base::result<std::string> folder_recovery::read_checksummed(const file_name& name,
                                                            std::string_view magic,
                                                            base::byte_count limit) const
{
    BOOST_LEAF_AUTO(content, m_files.read(name, limit));
    const auto payload = decode_checksummed(magic, content);
    if (!payload) {
        return fail_corrupt(name, {}, "the checksum or the file type does not match");
    }
    return std::string(*payload);
}

boost::leaf::error_id folder_recovery::fail_corrupt(const file_name& name, base::byte_count offset,
                                                    std::string_view what) const
{
    std::string text(what);
    text += " at offset " + std::to_string(offset.value()) + std::string(remedy);
    return base::fail(base::failure_kind::corrupt, "open data folder", m_files.path(name),
                      std::move(text));
}

} // namespace damaskladder::consensus
