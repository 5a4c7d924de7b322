#include "consensus/file_storage.hpp"

#include "consensus/atomic_write.hpp"
#include "consensus/checksummed_file.hpp"
#include "consensus/file_encoding.hpp"
#include "consensus/file_magics.hpp"
#include "consensus/folder_names.hpp"
#include "consensus/folder_recovery.hpp"

#include <algorithm>
#include <utility>

namespace damaskladder::consensus {

file_storage::file_storage(file_storage_options options, file_layer files)
    : m_options(std::move(options)), m_files(std::move(files))
{
}

file_storage::~file_storage()
{
    if (m_writer) {
        m_writer->close();
    }
}

base::result<std::unique_ptr<file_storage>> file_storage::open(file_storage_options options,
                                                               file_layer files,
                                                               const base::random_source& random)
{
    std::unique_ptr<file_storage> storage(new file_storage(std::move(options), std::move(files)));
    BOOST_LEAF_ASSIGN(storage->m_folder,
                      folder_recovery(storage->m_options, storage->m_files).run(random));
    const recovered_folder& folder = storage->m_folder;
    if (folder.state.newest_snapshot) {
        storage->m_snapshot_index = folder.state.newest_snapshot->last_index;
    }
    if (folder.segments.empty()) {
        BOOST_LEAF_CHECK(storage->begin_segment(folder.first_segment));
    }
    else {
        BOOST_LEAF_AUTO(writer,
                        segment_writer::open(storage->m_files, folder.segments.back().number,
                                             folder.last_segment_size));
        storage->m_writer.emplace(std::move(writer));
    }
    return storage;
}

base::result<void> file_storage::write_vote(const persist_vote& write)
{
    return attempt([&] {
        return write_atomically(m_files, vote_file(),
                                encode_checksummed(vote_magic, encode_hard_state(write.state)));
    });
}

base::result<void> file_storage::write_entries(const persist_entries& write)
{
    return attempt([&] { return append_entries(write); });
}

base::result<void> file_storage::write_snapshot(const persist_snapshot& write)
{
    return attempt([&] { return store_snapshot(write); });
}

base::result<void> file_storage::sync()
{
    return attempt([&] { return sync_segment(); });
}

log_storage file_storage::hooks()
{
    log_storage storage;
    storage.write_vote = [this](const persist_vote& write) { return write_vote(write); };
    storage.write_entries = [this](const persist_entries& write) { return write_entries(write); };
    storage.write_snapshot = [this](const persist_snapshot& write) {
        return write_snapshot(write);
    };
    storage.sync = [this] { return sync(); };
    return storage;
}

base::result<void> file_storage::attempt(const std::function<base::result<void>()>& write)
{
    if (m_failed) {
        return base::fail(base::failure_kind::unavailable, "use data folder",
                          m_files.path(identity_file()),
                          "an earlier write failed; restart the process once the cause is removed");
    }
    return boost::leaf::try_handle_some(write,
                                        [this](const boost::leaf::error_info& failed,
                                               const base::failure& cause) -> base::result<void> {
                                            m_failed = cause.kind != base::failure_kind::no_space;
                                            return failed.error();
                                        });
}

base::result<void> file_storage::append_entries(const persist_entries& write)
{
    stored_segment& segment = m_folder.segments.back();
    for (const entry& each : write.entries) {
        const std::string payload = encode_entry(each);
        const base::byte_count size(static_cast<std::int64_t>(payload.size()));
        if (size > m_options.max_record) {
            return base::fail(base::failure_kind::too_large, "write entry",
                              m_files.path(segment_file(segment.number)),
                              "entry " + std::to_string(each.index.value()) + " has " +
                                  std::to_string(size.value()) + " bytes, the limit is " +
                                  std::to_string(m_options.max_record.value()));
        }
        m_writer->append(payload);
        segment.max_index = std::max(segment.max_index, each.index);
    }
    return {};
}

base::result<void> file_storage::sync_segment()
{
    BOOST_LEAF_CHECK(m_writer->sync());
    if (m_writer->size() >= m_options.segment_size) {
        return begin_segment(next_segment(m_writer->number()));
    }
    return {};
}

base::result<void> file_storage::begin_segment(segment_number number)
{
    if (m_writer) {
        BOOST_LEAF_CHECK(m_writer->finish());
    }
    BOOST_LEAF_AUTO(writer, segment_writer::open(m_files, number, base::byte_count(0)));
    if (m_writer) {
        m_writer->close();
    }
    m_writer.emplace(std::move(writer));
    m_folder.segments.push_back({number, log_index()});
    return {};
}

base::result<void> file_storage::store_snapshot(const persist_snapshot& write)
{
    BOOST_LEAF_CHECK(m_writer->sync());
    const segment_number fresh = next_segment(m_writer->number());
    auto& segments = m_folder.segments;
    const auto first_needed =
        std::find_if(segments.begin(), segments.end(), [&](const stored_segment& each) {
            return write.log == log_disposition::keep_suffix &&
                   each.max_index > write.content->last_index;
        });
    const segment_number first = first_needed == segments.end() ? fresh : first_needed->number;
    const stored_snapshot stored{write.content, first};
    const std::string content = encode_checksummed(snapshot_magic, encode_snapshot(stored));
    if (base::byte_count(static_cast<std::int64_t>(content.size())) > m_options.max_snapshot_file) {
        return base::fail(base::failure_kind::too_large, "write snapshot",
                          m_files.path(snapshot_file(write.content->last_index)),
                          "the snapshot file exceeds the limit of " +
                              std::to_string(m_options.max_snapshot_file.value()) + " bytes");
    }
    BOOST_LEAF_CHECK(write_atomically(m_files, snapshot_file(write.content->last_index), content));
    m_folder.first_segment = first;
    BOOST_LEAF_CHECK(begin_segment(fresh));
    return remove_obsolete_files(std::exchange(m_snapshot_index, write.content->last_index));
}

base::result<void> file_storage::remove_obsolete_files(log_index previous_snapshot)
{
    auto& segments = m_folder.segments;
    while (segments.front().number < m_folder.first_segment) {
        BOOST_LEAF_CHECK(m_files.remove(segment_file(segments.front().number)));
        segments.erase(segments.begin());
    }
    if (previous_snapshot != log_index() && previous_snapshot != m_snapshot_index) {
        BOOST_LEAF_CHECK(m_files.remove(snapshot_file(previous_snapshot)));
    }
    return {};
}

} // namespace damaskladder::consensus
