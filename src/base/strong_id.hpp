#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <utility>

namespace damaskladder::base {

/// Identifier with its own type per kind, so that mixing different kinds does not compile.
///
/// Tag is an incomplete type that names the kind; Rep is the type of the stored value. Identifiers
/// compare and hash by value; a default-constructed one holds the default value of Rep.
template <class Tag, class Rep>
class strong_id {
public:
    using rep = Rep;

    constexpr strong_id() = default;
    constexpr explicit strong_id(Rep value) : m_value(std::move(value)) {}

    constexpr const Rep& value() const { return m_value; }

    // clang-tidy 14 reports a false positive for the generated comparison with 0.
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
