#pragma once

#include "quota/share_point.hpp"
#include "quota/token_rate.hpp"
#include "quota/tokens.hpp"

#include <algorithm>

namespace damaskladder::quota {

/// Part of every rate and burst that belongs to one failure domain.
/// The shares of the failure domains partition the interval [0, 1'000'000). Amounts are rounded at
/// the boundaries of the shares, so that the parts of all domains add up to the whole amount
/// exactly.
struct domain_share {
    share_point begin;
    share_point end;

    tokens of(tokens amount) const { return tokens(part(std::min(amount, max_tokens).value())); }

    token_rate of(token_rate rate) const
    {
        return token_rate(part(std::min(rate, max_token_rate).value()));
    }

    friend bool operator==(const domain_share&, const domain_share&) = default;

private:
    std::int64_t part(std::int64_t amount) const
    {
        constexpr std::int64_t whole_interval = 1'000'000;
        const auto up_to = [&](share_point point) {
            return amount * std::clamp<std::int64_t>(point.value(), 0, whole_interval) /
                   whole_interval;
        };
        return std::max<std::int64_t>(0, up_to(end) - up_to(begin));
    }
};

} // namespace damaskladder::quota
