#pragma once

#include "settings/reference_index.hpp"
#include "settings/setting_diff.hpp"
#include "settings/setting_tree.hpp"
#include "settings/settings_problem.hpp"

#include <set>

namespace damaskladder::settings {

/// A settings tree that always satisfies all checks: changes that violate one are rejected.
///
/// The time for a change is proportional to its size (and to the number of failure domains if it
/// concerns them), not to the size of the tree.
class checked_settings {
public:
    const setting_tree& tree() const { return m_tree; }
    void set_version(base::settings_version version) { m_tree.set_version(version); }

    /// Applies the change and returns an empty list, or returns the problems and changes nothing.
    settings_problems apply(const setting_diff& diff);

    /// Returns what apply() would return, without changing the tree.
    settings_problems check(const setting_diff& diff);

    /// Path of the entry that defines the name, for example of a key; null if there is none.
    const setting_path* find_definition(const setting_reference& reference) const
    {
        return m_index.find_definition(reference);
    }

private:
    void apply_unchecked(const setting_diff& diff, const std::set<setting_path>& changed_paths,
                         std::set<setting_reference>& references);
    void check_changed_paths(const std::set<setting_path>& changed_paths,
                             const std::set<setting_reference>& references,
                             settings_problems& problems) const;
    void check_shares(settings_problems& problems) const;

    setting_tree m_tree;
    reference_index m_index;
};

} // namespace damaskladder::settings
