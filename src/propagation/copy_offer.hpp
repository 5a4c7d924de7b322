#pragma once

#include "base/settings_version.hpp"

#include <cstdint>

namespace damaskladder::propagation {

/// A full copy that the sender can serve in chunks.
struct copy_offer {
    base::settings_version version;
    std::uint32_t chunks = 0;

    friend bool operator==(const copy_offer&, const copy_offer&) = default;
};

} // namespace damaskladder::propagation
