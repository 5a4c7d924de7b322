#pragma once

#include "base/settings_version.hpp"

namespace damaskladder::control {

/// Effect: the settings version has changed since the previous event.
struct settings_version_changed {
    base::settings_version version;
};

} // namespace damaskladder::control
