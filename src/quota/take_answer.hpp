#pragma once

#include "base/time.hpp"
#include "quota/take_verdict.hpp"

namespace damaskladder::quota {

/// Answer to a request that needs a token.
struct take_answer {
    take_verdict verdict = take_verdict::refused;
    /// If refused: the time after which a token may be available.
    base::duration retry_after{};

    friend bool operator==(const take_answer&, const take_answer&) = default;
};

} // namespace damaskladder::quota
