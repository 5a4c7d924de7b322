#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace damaskladder::base {

/// Largest error of a process's clock rate, in parts per million of real time.
///
/// The rates of two clocks within this bound may differ by twice the bound, so a duration that one
/// process guarantees to another must be shortened or lengthened before another clock measures it.
class clock_drift {
public:
    constexpr clock_drift() = default;
    constexpr explicit clock_drift(std::int64_t parts_per_million) : m_ppm(parts_per_million) {}

    constexpr std::int64_t parts_per_million() const { return m_ppm; }

    /// Longest local duration that ends, in real time, before any peer has measured `length`.
    constexpr duration shortened(duration length) const
    {
        return duration(length.count() - scaled(length, 2 * m_ppm, parts_per_unit));
    }

    /// Shortest local duration after which every peer has measured at least `length`.
    constexpr duration lengthened(duration length) const
    {
        return duration(length.count() + scaled(length, 2 * m_ppm, parts_per_unit - m_ppm));
    }

    friend constexpr bool operator==(const clock_drift&, const clock_drift&) = default;

private:
    static constexpr std::int64_t parts_per_unit = 1'000'000;

    /// length * numerator / denominator, rounded up. Quotient and remainder are multiplied
    /// separately to avoid overflow.
    static constexpr std::int64_t scaled(duration length, std::int64_t numerator,
                                         std::int64_t denominator)
    {
        const auto quotient = length.count() / denominator;
        const auto remainder = length.count() % denominator;
        return quotient * numerator + (remainder * numerator + denominator - 1) / denominator;
    }

    std::int64_t m_ppm = 1'000;
};

} // namespace damaskladder::base
