#include "settings/share_sum.hpp"

#include <cstdint>
#include <numeric>

namespace damaskladder::settings {

namespace {

// Keeps the products in the addition below from overflowing, with numerators up to 10^6 and a
// bounded sum.
constexpr std::int64_t max_common_denominator = 1'000'000'000'000'000;

} // namespace

bool sums_to_one(const std::vector<domain_share>& shares)
{
    std::int64_t numerator = 0;
    std::int64_t denominator = 1;
    for (const auto& share : shares) {
        auto divisor = std::gcd(denominator, share.denominator);
        auto factor = share.denominator / divisor;
        if (denominator > max_common_denominator / factor) {
            return false;
        }
        auto common = denominator * factor;
        numerator = numerator * factor + share.numerator * (common / share.denominator);
        denominator = common;
        if (numerator > denominator) {
            return false;
        }
    }
    return numerator == denominator;
}

} // namespace damaskladder::settings
