#pragma once

#include <cstdint>

namespace damaskladder::claims {

/// What the traffic side may do with a request.
enum class claim_verdict : std::uint8_t {
    /// Send the request to the backend server, then call complete(), release() or forget().
    granted,
    /// Answer that the outcome is unknown: another attempt may be running the request.
    held_running,
    /// Another attempt ran the request; its node may have the answer.
    held_done,
    /// Refuse: it is no longer known whether the request ran before. This attempt did not run.
    too_old,
    /// Refuse: the id was used with different content. This attempt did not run.
    conflict,
    /// Refuse: no claim was granted in time. This attempt did not and will not run.
    not_available,
};

} // namespace damaskladder::claims
