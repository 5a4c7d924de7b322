#pragma once

#include "base/quantity.hpp"
#include "base/time.hpp"
#include "quota/tokens.hpp"

#include <algorithm>
#include <cstdint>

namespace damaskladder::quota {

/// Rate in millionths of a token per second.
using token_rate = base::quantity<struct token_rate_tag, std::int64_t>;

/// Largest rate: 9 million requests per second. Larger rates are clamped.
inline constexpr token_rate max_token_rate(9'000'000'000'000);

/// Tokens of `rate` in `length`, rounded down, at most max_tokens.
constexpr tokens tokens_in(token_rate rate, base::duration length)
{
    constexpr std::int64_t micros = 1'000'000;
    const auto per_second = std::clamp<std::int64_t>(rate.value(), 0, max_token_rate.value());
    if (length.count() <= 0 || per_second == 0) {
        return tokens(0);
    }
    const auto seconds = length.count() / micros;
    if (seconds > max_tokens.value() / per_second) {
        return max_tokens;
    }
    const auto part = per_second * (length.count() % micros) / micros;
    return std::min(max_tokens, tokens(per_second * seconds + part));
}

/// Time in which `rate` yields `amount`, rounded up; an hour if the rate is zero or too low.
constexpr base::duration time_for(tokens amount, token_rate rate)
{
    constexpr base::duration longest = std::chrono::hours(1);
    if (amount.value() <= 0) {
        return base::duration::zero();
    }
    const auto per_micro = static_cast<double>(rate.value()) / 1e6;
    const auto length = static_cast<double>(amount.value()) / std::max(per_micro, 1e-9);
    return length < static_cast<double>(longest.count())
               ? base::duration(static_cast<std::int64_t>(length) + 1)
               : longest;
}

} // namespace damaskladder::quota
