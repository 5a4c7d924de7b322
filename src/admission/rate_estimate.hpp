#pragma once

namespace damaskladder::admission {

/// Estimated calls per run-second and the standard error of the estimate.
struct rate_estimate {
    double rate = 0;
    double error = 0;
};

} // namespace damaskladder::admission
