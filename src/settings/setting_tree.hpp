#pragma once

#include "base/settings_version.hpp"
#include "settings/setting_entry.hpp"
#include "settings/setting_path.hpp"

#include <cstddef>
#include <map>

namespace damaskladder::settings {

/// Entries by path, with the version of the tree. There are no entries without fields.
class setting_tree {
public:
    using container = std::map<setting_path, setting_entry>;

    /// 190 services in 11 failure domains need about 7,000 entries; the limit leaves room for twice
    /// as many.
    static constexpr std::size_t max_entries = 20'000;

    const setting_entry* find(const setting_path& path) const;
    const field_value* find(const setting_path& path, const field_name& field) const;
    void set(const setting_path& path, const field_name& field, field_value value);
    /// Also removes the entry if this was its last field.
    void erase(const setting_path& path, const field_name& field);

    /// The entries within root, with the same paths and version.
    setting_tree subtree(const setting_path& root) const;

    base::settings_version version() const { return m_version; }
    void set_version(base::settings_version version) { m_version = version; }

    bool empty() const { return m_entries.empty(); }
    std::size_t size() const { return m_entries.size(); }
    container::const_iterator begin() const { return m_entries.begin(); }
    container::const_iterator end() const { return m_entries.end(); }
    /// First entry at or after path.
    container::const_iterator lower_bound(const setting_path& path) const
    {
        return m_entries.lower_bound(path);
    }

    friend bool operator==(const setting_tree&, const setting_tree&) = default;

private:
    container m_entries;
    base::settings_version m_version;
};

} // namespace damaskladder::settings
