#pragma once

#include "settings/reference_index.hpp"
#include "settings/setting_diff.hpp"
#include "settings/setting_tree.hpp"
#include "settings/settings_problem.hpp"

#include <set>

namespace damaskladder::settings {

/// A tree that has passed all checks, and takes only changes that leave it so.
///
/// A change costs time in proportion to its own size (and to the number of failure domains if it
/// concerns them), not to the size of the tree.
class checked_settings {
public:
    const setting_tree& tree() const { return m_tree; }
    void set_version(base::settings_version version) { m_tree.set_version(version); }

    /// Applies the change and returns no problems, or returns problems and changes nothing.
    settings_problems apply(const setting_diff& diff);

    /// The verdict that apply would give. Leaves the tree as it is.
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
