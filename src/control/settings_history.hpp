#pragma once

#include "base/settings_version.hpp"
#include "control/table_limits.hpp"
#include "control/version_difference.hpp"
#include "control/version_record.hpp"
#include "settings/setting_path.hpp"

#include <deque>
#include <map>
#include <vector>

namespace damaskladder::control {

/// The latest accepted changes and the current version of each subtree.
///
/// "fleet" and each "teams/TEAM" have a version of their own: the log position of their last
/// change. With a single version for the whole tree, a hundred teams that make 3,500 changes a day
/// would cause each other needless conflicts.
class settings_history {
public:
    explicit settings_history(const table_limits& limits) : m_limits(limits) {}

    void append(version_record record);

    /// 0 if the subtree was never changed.
    base::settings_version version_of(const settings::setting_path& versioned_root) const;
    /// The change that created the version; null if it is no longer kept.
    const version_record* find(base::settings_version version) const;
    const std::deque<version_record>& records() const { return m_records; }

    /// Net difference within root made by the versions after from, up to and including to.
    version_difference net_difference(base::settings_version from, base::settings_version to,
                                      const settings::setting_path& root) const;

    /// Version of the newest record that was dropped; 0 if none was.
    base::settings_version last_dropped_version() const { return m_last_dropped_version; }
    const std::map<settings::setting_path, base::settings_version>& versions() const
    {
        return m_versions;
    }
    /// Restores the history from a snapshot.
    void restore(std::vector<version_record> records,
                 std::map<settings::setting_path, base::settings_version> versions,
                 base::settings_version last_dropped_version);

private:
    void drop_oldest();

    table_limits m_limits;
    std::deque<version_record> m_records;
    base::byte_count m_size;
    std::map<settings::setting_path, base::settings_version> m_versions;
    base::settings_version m_last_dropped_version;
};

} // namespace damaskladder::control
