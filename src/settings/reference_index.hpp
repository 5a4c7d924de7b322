#pragma once

#include "settings/entry_references.hpp"
#include "settings/setting_path.hpp"
#include "settings/setting_reference.hpp"
#include "settings/settings_problem.hpp"

#include <map>
#include <set>

namespace damaskladder::settings {

/// Index of the entries that define and use each name, so that the time to check a change depends
/// on the size of the change and not on that of the tree.
class reference_index {
public:
    void add(const setting_path& path, const entry_references& references);
    void remove(const setting_path& path, const entry_references& references);

    /// Checks that the name is defined at most once, and exactly once if it is used. A key must
    /// belong to the team of its workspace; otherwise one team could grant access to the rate of
    /// another.
    void check(const setting_reference& reference, settings_problems& problems) const;

    /// Path of the entry that defines the name; null if there is none.
    const setting_path* find_definition(const setting_reference& reference) const;

private:
    using path_index = std::map<setting_reference, std::set<setting_path>>;

    void check_unique(const setting_reference& reference, const std::set<setting_path>& definitions,
                      settings_problems& problems) const;
    void check_use(const setting_path& user, const setting_reference& reference,
                   const std::set<setting_path>& definitions, settings_problems& problems) const;

    path_index m_defined;
    path_index m_used;
};

} // namespace damaskladder::settings
