#pragma once

#include "base/message_address.hpp"
#include "base/settings_version.hpp"

#include <cstdint>

namespace damaskladder::propagation {

/// Requests one chunk of an offered copy.
struct chunk_request {
    base::message_address reply_to;
    base::settings_version version;
    std::uint32_t chunk = 0;

    friend bool operator==(const chunk_request&, const chunk_request&) = default;
};

} // namespace damaskladder::propagation
