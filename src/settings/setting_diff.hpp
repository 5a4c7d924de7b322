#pragma once

#include "settings/setting_change.hpp"
#include "settings/setting_tree.hpp"

#include <string>
#include <vector>

namespace damaskladder::settings {

/// Difference of two trees: changes in the order of paths and fields, at most one per field.
struct setting_diff {
    std::vector<setting_change> changes;

    bool empty() const { return changes.empty(); }

    friend bool operator==(const setting_diff&, const setting_diff&) = default;
};

/// What turns the entries of before into those of after. Versions are not compared.
setting_diff difference(const setting_tree& before, const setting_tree& after);

/// The difference that undoes this one.
setting_diff inverse(const setting_diff& diff);

/// Whether the changes are in the order of paths and fields, without repetition, and each finds the
/// value that it starts from.
bool fits(const setting_diff& diff, const setting_tree& tree);

/// Applies the difference and returns true, or leaves the tree as it is and returns false if the
/// difference does not fit. Leaves the version as it is.
bool apply(const setting_diff& diff, setting_tree& tree);

/// One line per change: "+ PATH FIELD = TO", "- PATH FIELD = FROM" or "~ PATH FIELD = FROM -> TO".
/// Key hashes are left out.
std::string to_string(const setting_diff& diff);

} // namespace damaskladder::settings
