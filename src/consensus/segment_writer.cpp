#include "consensus/segment_writer.hpp"

#include "consensus/folder_names.hpp"
#include "consensus/frame.hpp"

namespace damaskladder::consensus {

segment_writer::segment_writer(const file_layer& files, segment_number number, file_handle handle,
                               base::byte_count synced)
    : m_files(&files), m_number(number), m_handle(handle), m_written(synced), m_synced(synced)
{
}

base::result<segment_writer> segment_writer::open(const file_layer& files, segment_number number,
                                                  base::byte_count synced)
{
    BOOST_LEAF_AUTO(handle, files.open(segment_file(number)));
    BOOST_LEAF_CHECK(files.sync_folder());
    return segment_writer(files, number, handle, synced);
}

void segment_writer::append(std::string_view payload)
{
    m_buffered += encode_frame(m_number, size(), m_synced, payload);
}

base::byte_count segment_writer::size() const
{
    return m_written + base::byte_count(static_cast<std::int64_t>(m_buffered.size()));
}

base::result<void> segment_writer::sync()
{
    if (!has_unsynced()) {
        return {};
    }
    BOOST_LEAF_CHECK(write_buffered());
    BOOST_LEAF_CHECK(m_files->sync(m_handle));
    m_synced = m_written;
    // Records that the preceding frames are synced, so that damage to the last of them is not
    // mistaken for a torn write. This record needs no sync of its own: the next sync covers it.
    append({});
    return write_buffered();
}

base::result<void> segment_writer::finish()
{
    BOOST_LEAF_CHECK(sync());
    return m_files->sync(m_handle);
}

base::result<void> segment_writer::write_buffered()
{
    if (m_is_torn) {
        BOOST_LEAF_CHECK(m_files->truncate(m_handle, m_written));
    }
    m_is_torn = true;
    BOOST_LEAF_CHECK(m_files->append(m_handle, m_buffered));
    m_is_torn = false;
    m_written = size();
    m_buffered.clear();
    return {};
}

} // namespace damaskladder::consensus
