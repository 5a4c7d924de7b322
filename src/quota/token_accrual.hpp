#pragma once

#include "base/time.hpp"
#include "quota/token_rate.hpp"

namespace damaskladder::quota {

/// Converts elapsed time to tokens without losing fractions between calls.
class token_accrual {
public:
    explicit token_accrual(base::time_point start) : m_last(start) {}

    /// Sets the rate from now on. Call advance() first, so that elapsed time is accrued at the old
    /// rate.
    void set_rate(token_rate rate);

    token_rate rate() const { return m_rate; }

    /// Returns the tokens accrued since the last call; none if the clock went back.
    tokens advance(base::time_point now);

private:
    base::time_point m_last;
    token_rate m_rate;
    /// Fraction not yet accrued, in millionths of a millionth of a token.
    std::int64_t m_fraction = 0;
};

} // namespace damaskladder::quota
