#pragma once

#include "base/time.hpp"
#include "retry/budget_options.hpp"

namespace damaskladder::retry {

/// Limits retries to a small fraction of recent successes, so that retries cannot sustain an
/// overload.
class budget {
public:
    explicit budget(budget_options options);

    void on_success(base::time_point now);

    /// Takes one retry from the budget. Returns false if it is empty.
    bool try_spend(base::time_point now);

private:
    void advance(base::time_point now);

    budget_options m_options;
    /// Unused retries earned by successes; decays exponentially over decay_time.
    double m_earned_retries = 0;
    double m_floor_retries = 0;
    base::time_point m_at;
};

} // namespace damaskladder::retry
