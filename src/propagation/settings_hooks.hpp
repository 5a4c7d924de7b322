#pragma once

#include "propagation/settings_copy.hpp"
#include "propagation/settings_difference.hpp"

#include <functional>

namespace damaskladder::propagation {

/// The settings of this process. All hooks are required and must not call back.
struct settings_hooks {
    /// Puts a difference from the version in force into force. False if it does not fit; a full
    /// copy is fetched then.
    std::function<bool(const settings_difference&)> apply;
    /// Puts a full copy into force. False if it is damaged.
    std::function<bool(const settings_copy&)> replace;
    /// The settings in force.
    std::function<settings_copy()> copy;
};

} // namespace damaskladder::propagation
