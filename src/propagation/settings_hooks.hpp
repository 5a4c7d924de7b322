#pragma once

#include "propagation/settings_copy.hpp"
#include "propagation/settings_difference.hpp"

#include <functional>

namespace damaskladder::propagation {

/// Access to the settings of this process. All hooks are required, and none may call back into the
/// object that calls it.
struct settings_hooks {
    /// Applies a difference from the applied version. If it returns false because the difference
    /// does not fit, a full copy is fetched.
    std::function<bool(const settings_difference&)> apply;
    /// Applies a full copy. False if it is corrupt.
    std::function<bool(const settings_copy&)> replace;
    /// Returns the applied settings.
    std::function<settings_copy()> copy;
};

} // namespace damaskladder::propagation
