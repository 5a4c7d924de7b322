#pragma once

#include "settings/setting_diff.hpp"

namespace damaskladder::control {

/// Difference between two versions of a subtree.
struct version_difference {
    settings::setting_diff diff;
    /// Whether the history reaches back to the older version; if not, the difference is partial.
    bool complete = false;
};

} // namespace damaskladder::control
