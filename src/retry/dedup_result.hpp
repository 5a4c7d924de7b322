#pragma once

#include "retry/dedup_verdict.hpp"
#include "retry/kept_answer.hpp"

#include <memory>

namespace damaskladder::retry {

/// Verdict on one request, with the answer for dedup_verdict::replay.
struct dedup_result {
    dedup_verdict verdict = dedup_verdict::run;
    std::shared_ptr<const kept_answer> answer;
};

} // namespace damaskladder::retry
