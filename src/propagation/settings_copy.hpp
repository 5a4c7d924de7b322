#pragma once

#include "base/settings_version.hpp"
#include "propagation/settings_bytes.hpp"

namespace damaskladder::propagation {

/// Full copy of the settings of one version.
struct settings_copy {
    base::settings_version version;
    settings_bytes bytes;

    friend bool operator==(const settings_copy&, const settings_copy&) = default;
};

} // namespace damaskladder::propagation
