#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <utility>

namespace damaskladder::base {

/// An identifier that cannot be mixed up with another kind of identifier.
///
/// Tag is an incomplete type that names the kind; Rep is the stored value. Identifiers compare and
/// hash by value, and a default-constructed identifier holds the default value of Rep.
template <class Tag, class Rep>
class strong_id {
public:
    using rep = Rep;

    constexpr strong_id() = default;
    constexpr explicit strong_id(Rep value) : m_value(std::move(value)) {}

    constexpr const Rep& value() const { return m_value; }

    // clang-tidy 14 misreads the generated comparison with 0.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend constexpr auto operator<=>(const strong_id&, const strong_id&) = default;

    friend std::ostream& operator<<(std::ostream& out, const strong_id& id)
    {
        return out << id.m_value;
    }

private:
    Rep m_value{};
};

} // namespace damaskladder::base

template <class Tag, class Rep>
struct std::hash<damaskladder::base::strong_id<Tag, Rep>> {
    std::size_t operator()(const damaskladder::base::strong_id<Tag, Rep>& id) const
    {
        return std::hash<Rep>{}(id.value());
    }
};
