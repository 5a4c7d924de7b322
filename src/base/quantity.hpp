#pragma once

#include <compare>
#include <ostream>

namespace damaskladder::base {

/// Amount in a unit given by Tag. Amounts of the same unit can be added, subtracted, scaled and
/// compared; mixing different units does not compile.
template <class Tag, class Rep>
class quantity {
public:
    using rep = Rep;

    constexpr quantity() = default;
    constexpr explicit quantity(Rep value) : m_value(value) {}

    constexpr Rep value() const { return m_value; }

    // clang-tidy 14 reports a false positive for the generated comparison with 0.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend constexpr auto operator<=>(const quantity&, const quantity&) = default;

    constexpr quantity& operator+=(quantity other)
    {
        m_value += other.m_value;
        return *this;
    }
    constexpr quantity& operator-=(quantity other)
    {
        m_value -= other.m_value;
        return *this;
    }
    friend constexpr quantity operator+(quantity a, quantity b) { return a += b; }
    friend constexpr quantity operator-(quantity a, quantity b) { return a -= b; }
    friend constexpr quantity operator*(quantity a, Rep factor)
    {
        return quantity(a.m_value * factor);
    }

    friend std::ostream& operator<<(std::ostream& out, const quantity& amount)
    {
        return out << amount.m_value;
    }

private:
    Rep m_value{};
};

} // namespace damaskladder::base
