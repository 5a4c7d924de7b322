#pragma once

#include "base/settings_version.hpp"
#include "propagation/settings_bytes.hpp"

#include <cstdint>

namespace damaskladder::propagation {

/// One chunk of a full copy.
struct copy_chunk {
    base::settings_version version;
    std::uint32_t chunk = 0;
    settings_bytes bytes;

    friend bool operator==(const copy_chunk&, const copy_chunk&) = default;
};

} // namespace damaskladder::propagation
