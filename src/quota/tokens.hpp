#pragma once

#include "base/quantity.hpp"

#include <cstdint>

namespace damaskladder::quota {

/// Amount of rate tokens, in millionths of a token.
using tokens = base::quantity<struct tokens_tag, std::int64_t>;

/// What one request costs.
inline constexpr tokens one_token(1'000'000);

/// Largest burst: 9 million requests. Larger amounts are cut to it, so that no product overflows.
inline constexpr tokens max_tokens(9'000'000'000'000);

/// The largest whole number of requests that `amount` pays for, as an amount.
constexpr tokens whole(tokens amount)
{
    return amount - tokens(amount.value() % one_token.value());
}

} // namespace damaskladder::quota
