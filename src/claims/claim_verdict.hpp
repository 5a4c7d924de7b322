#pragma once

#include <cstdint>

namespace damaskladder::claims {

/// What the traffic side may do with a request.
enum class claim_verdict : std::uint8_t {
    /// Hand it over, then report complete(), release() or leave().
    granted,
    /// Answer unknown: another attempt may be running it.
    held_running,
    /// Another attempt ran it; its node may have the answer.
    held_done,
    /// Refuse: whether it ran before is not known any more. This attempt did not run.
    too_old,
    /// Refuse: other content under the same id. This attempt did not run.
    conflict,
    /// Refuse: no claim could be had in time. This attempt did not and will not run.
    not_available,
};

} // namespace damaskladder::claims
