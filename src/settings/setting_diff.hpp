#pragma once

#include "settings/setting_change.hpp"
#include "settings/setting_tree.hpp"

#include <string>
#include <vector>

namespace damaskladder::settings {

/// Difference of two trees: changes sorted by path and field, at most one per field.
struct setting_diff {
    std::vector<setting_change> changes;

    bool empty() const { return changes.empty(); }

    friend bool operator==(const setting_diff&, const setting_diff&) = default;
};

/// Changes that turn the entries of before into those of after. Versions are not compared.
setting_diff difference(const setting_tree& before, const setting_tree& after);

/// Difference that reverts this one.
setting_diff inverse(const setting_diff& diff);

/// Whether the changes are sorted by path and field without repetition, and the old value of each
/// is the one in the tree.
bool fits(const setting_diff& diff, const setting_tree& tree);

/// Applies the difference and returns true; if it does not fit, returns false and changes nothing.
/// Does not change the version.
bool apply(const setting_diff& diff, setting_tree& tree);

/// One line per change: "+ PATH FIELD = TO", "- PATH FIELD = FROM" or "~ PATH FIELD = FROM -> TO".
/// Key hashes are left out.
std::string to_string(const setting_diff& diff);

} // namespace damaskladder::settings
