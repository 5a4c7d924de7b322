#pragma once

#include "base/random_source.hpp"
#include "base/result.hpp"
#include "consensus/file_layer.hpp"
#include "consensus/file_storage_options.hpp"
#include "consensus/recovered_folder.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace damaskladder::consensus {

/// Recovers the state in a data folder, creates the identity of a new folder, and removes files
/// left over by crashes.
class folder_recovery {
public:
    folder_recovery(const file_storage_options& options, const file_layer& files)
        : m_options(options), m_files(files)
    {
    }

    base::result<recovered_folder> run(const base::random_source& random);

private:
    base::result<void> classify_files();
    base::result<void> load_identity(const base::random_source& random);
    /// Stores the formation of a new folder, or reads the stored one.
    base::result<void> load_formation();
    base::result<void> load_hard_state();
    base::result<void> load_snapshot();
    base::result<void> load_segments();
    base::result<void> load_segment(segment_number number, bool is_last);
    base::result<void> replay(segment_number number, std::vector<entry> entries);
    base::result<void> drop_entries_covered_by_snapshot();
    base::result<void> remove_temporaries();
    base::result<void> remove_obsolete_files();
    base::result<std::string> read_checksummed(const file_name& name, std::string_view magic,
                                               base::byte_count limit) const;
    boost::leaf::error_id fail_corrupt(const file_name& name, base::byte_count offset,
                                       std::string_view what) const;

    const file_storage_options& m_options;
    const file_layer& m_files;
    recovered_folder m_result;
    bool m_has_identity_file = false;
    bool m_has_formation_file = false;
    bool m_has_vote_file = false;
    std::vector<segment_number> m_segments;
    std::vector<log_index> m_snapshots;
    std::vector<file_name> m_temporaries;
};

} // namespace damaskladder::consensus
