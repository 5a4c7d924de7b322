#pragma once

#include "base/quantity.hpp"

#include <cstdint>

namespace damaskladder::quota {

/// Amount of rate tokens, in millionths of a token.
using tokens = base::quantity<struct tokens_tag, std::int64_t>;

/// The cost of one request.
inline constexpr tokens one_token(1'000'000);

/// Largest burst: 9 million requests. Larger amounts are clamped, so that products do not overflow.
inline constexpr tokens max_tokens(9'000'000'000'000);

/// Rounds `amount` down to a whole number of tokens.
constexpr tokens whole(tokens amount)
{
    return amount - tokens(amount.value() % one_token.value());
}

} // namespace damaskladder::quota
