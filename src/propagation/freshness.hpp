#pragma once

#include "base/settings_version.hpp"
#include "base/time.hpp"

namespace damaskladder::propagation {

/// At most this long before the poll arrived, no version newer than this one had been accepted.
struct freshness {
    base::settings_version version;
    base::duration age{};

    friend bool operator==(const freshness&, const freshness&) = default;
};

} // namespace damaskladder::propagation
