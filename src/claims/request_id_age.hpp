#pragma once

#include <cstdint>

namespace damaskladder::claims {

/// Whether the time in a request id allows a claim.
enum class request_id_age : std::uint8_t {
    usable,
    /// Older than the retention: it is not known whether the request ran.
    too_old,
    /// Ahead of this clock by more than the permitted clock skew; the id would be kept too long.
    in_future,
};

} // namespace damaskladder::claims
