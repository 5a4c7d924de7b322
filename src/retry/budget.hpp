#pragma once

#include "base/time.hpp"
#include "retry/budget_options.hpp"

namespace damaskladder::retry {

/// Keeps the retries of a node to a small part of its recent successes, so that retries cannot
/// hold an overload up.
class budget {
public:
    explicit budget(budget_options options);

    void on_success(base::time_point now);

    /// Takes one retry out of the budget, if there is one.
    bool try_spend(base::time_point now);

private:
    void advance(base::time_point now);

    budget_options m_options;
    /// Retries earned by successes and not used; fades over the recent time.
    double m_earned_retries = 0;
    double m_floor_retries = 0;
    base::time_point m_at;
};

} // namespace damaskladder::retry
