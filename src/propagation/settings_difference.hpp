#pragma once

#include "base/settings_version.hpp"
#include "propagation/settings_bytes.hpp"

namespace damaskladder::propagation {

/// Changes that turn one version of the settings into a later one.
struct settings_difference {
    base::settings_version from;
    base::settings_version to;
    settings_bytes bytes;

    friend bool operator==(const settings_difference&, const settings_difference&) = default;
};

} // namespace damaskladder::propagation
