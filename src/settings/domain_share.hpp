#pragma once

#include <cstdint>

namespace damaskladder::settings {

/// Share of each workspace's rate and burst that a failure domain accrues. A fraction, because
/// eleven equal shares have no finite decimal form and the sum must be exactly 1.
struct domain_share {
    static constexpr std::int64_t max_denominator = 1'000'000;

    std::int64_t numerator = 0;
    std::int64_t denominator = 1;

    double value() const
    {
        return static_cast<double>(numerator) / static_cast<double>(denominator);
    }

    friend bool operator==(const domain_share&, const domain_share&) = default;
};

} // namespace damaskladder::settings
