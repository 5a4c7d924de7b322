#pragma once

#include "base/byte_count.hpp"
#include "base/result.hpp"
#include "consensus/file_layer.hpp"
#include "consensus/segment_number.hpp"

#include <string>
#include <string_view>

namespace damaskladder::consensus {

/// Appends frames to one segment file.
class segment_writer {
public:
    /// Opens the segment for appending, creating it if needed. Its first `synced` bytes exist and
    /// are synced.
    static base::result<segment_writer> open(const file_layer& files, segment_number number,
                                             base::byte_count synced);

    /// Buffers a record; the next sync writes it to the file.
    void append(std::string_view payload);
    /// Writes and syncs all buffered records. May be called again after it failed with no_space.
    base::result<void> sync();
    /// Also syncs the record of the last synced offset, so that a segment that is followed by
    /// another one is valid up to its end.
    base::result<void> finish();
    void close() const { m_files->close(m_handle); }

    bool has_unsynced() const { return !m_buffered.empty(); }
    base::byte_count size() const;
    segment_number number() const { return m_number; }

private:
    segment_writer(const file_layer& files, segment_number number, file_handle handle,
                   base::byte_count synced);
    base::result<void> write_buffered();

    const file_layer* m_files;
    segment_number m_number;
    file_handle m_handle;
    base::byte_count m_written;
    base::byte_count m_synced;
    std::string m_buffered;
    /// The file may end with a part of m_buffered, which a full disk cut off.
    bool m_is_torn = false;
};

} // namespace damaskladder::consensus
