#pragma once

#include "retry/kept_answer.hpp"
#include "retry/repeat_verdict.hpp"

#include <memory>

namespace damaskladder::retry {

/// Verdict on one request, with the answer for repeat_verdict::replay.
struct repeat_result {
    repeat_verdict verdict = repeat_verdict::run;
    std::shared_ptr<const kept_answer> answer;
};

} // namespace damaskladder::retry
