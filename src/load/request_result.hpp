#pragma once

#include "load/refusal_reason.hpp"
#include "load/result_class.hpp"

namespace damaskladder::load {

/// Result of one attempt or request, with the reason if it was refused.
struct request_result {
    result_class kind = result_class::broken;
    refusal_reason reason;

    friend bool operator==(const request_result&, const request_result&) = default;
};

} // namespace damaskladder::load
