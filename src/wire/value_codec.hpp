#pragma once

#include "base/quantity.hpp"
#include "base/strong_id.hpp"
#include "wire/enum_limit.hpp"

#include <boost/pfr.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace damaskladder::wire {

/// Converts the message types of the decision libraries to and from CBOR values. A struct is
/// encoded as an array of its fields in declaration order, so no field names are sent and the
/// message types need no serialisation code. Reading throws on any value that does not match the
/// type.
namespace value_codec {

using nlohmann::json;

template <class T>
struct converter;

template <class T>
json write(const T& value)
{
    return converter<T>::write(value);
}

template <class T>
T read(const json& from)
{
    return converter<T>::read(from);
}

/// Structs.
template <class T>
struct converter {
    static_assert(std::is_aggregate_v<T>, "a message field needs a converter");

    static json write(const T& value)
    {
        json fields = json::array();
        boost::pfr::for_each_field(
            value, [&](const auto& field) { fields.push_back(value_codec::write(field)); });
        return fields;
    }
    static T read(const json& from)
    {
        if (!from.is_array() || from.size() != boost::pfr::tuple_size_v<T>) {
            throw std::out_of_range("wrong number of struct fields");
        }
        T value{};
        std::size_t next = 0;
        boost::pfr::for_each_field(value, [&](auto& field) {
            field = value_codec::read<std::decay_t<decltype(field)>>(from.at(next++));
        });
        return value;
    }
};

template <class T>
requires std::is_integral_v<T>
struct converter<T> {
    static json write(T value) { return value; }
    static T read(const json& from)
    {
        if constexpr (std::is_same_v<T, bool>) {
            return from.get<bool>();
        }
        else {
            // nlohmann::json decodes non-negative integers as unsigned and negative ones as signed.
            const bool fits =
                from.is_number_unsigned()
                    ? std::in_range<T>(from.get<std::uint64_t>())
                    : from.is_number_integer() && std::in_range<T>(from.get<std::int64_t>());
            if (!fits) {
                throw std::out_of_range("integer");
            }
            return from.get<T>();
        }
    }
};

template <class T>
requires std::is_enum_v<T>
struct converter<T> {
    using number = std::underlying_type_t<T>;
    static json write(T value) { return static_cast<std::int64_t>(value); }
    static T read(const json& from)
    {
        const auto value = value_codec::read<number>(from);
        if (value < 0 || value > static_cast<number>(enum_limit<T>::last)) {
            throw std::out_of_range("enumeration");
        }
        return static_cast<T>(value);
    }
};

template <>
struct converter<double> {
    static json write(double value) { return value; }
    static double read(const json& from) { return from.get<double>(); }
};

/// Strings may hold arbitrary bytes, so they are encoded as CBOR byte strings.
template <>
struct converter<std::string> {
    static json write(const std::string& value)
    {
        return json::binary(std::vector<std::uint8_t>(value.begin(), value.end()));
    }
    static std::string read(const json& from)
    {
        const auto& bytes = from.get_binary();
        return {bytes.begin(), bytes.end()};
    }
};

template <std::size_t Size>
struct converter<std::array<std::uint8_t, Size>> {
    using array = std::array<std::uint8_t, Size>;
    static json write(const array& value)
    {
        return json::binary(std::vector<std::uint8_t>(value.begin(), value.end()));
    }
    static array read(const json& from)
    {
        const auto& bytes = from.get_binary();
        if (bytes.size() != Size) {
            throw std::out_of_range("wrong size of byte array");
        }
        array value{};
        std::copy(bytes.begin(), bytes.end(), value.begin());
        return value;
    }
};

template <class Tag, class Rep>
struct converter<base::strong_id<Tag, Rep>> {
    using id = base::strong_id<Tag, Rep>;
    static json write(const id& value) { return value_codec::write(value.value()); }
    static id read(const json& from) { return id(value_codec::read<Rep>(from)); }
};

template <class Tag, class Rep>
struct converter<base::quantity<Tag, Rep>> {
    using amount = base::quantity<Tag, Rep>;
    static json write(const amount& value) { return value_codec::write(value.value()); }
    static amount read(const json& from) { return amount(value_codec::read<Rep>(from)); }
};

template <class Rep, class Period>
struct converter<std::chrono::duration<Rep, Period>> {
    using time = std::chrono::duration<Rep, Period>;
    static json write(const time& value) { return value_codec::write(value.count()); }
    static time read(const json& from) { return time(value_codec::read<Rep>(from)); }
};

template <class Clock, class Duration>
struct converter<std::chrono::time_point<Clock, Duration>> {
    using point = std::chrono::time_point<Clock, Duration>;
    static json write(const point& value) { return value_codec::write(value.time_since_epoch()); }
    static point read(const json& from) { return point(value_codec::read<Duration>(from)); }
};

template <class T>
struct converter<std::optional<T>> {
    static json write(const std::optional<T>& value)
    {
        return value ? json::array({value_codec::write(*value)}) : json::array();
    }
    static std::optional<T> read(const json& from)
    {
        if (!from.is_array() || from.size() > 1) {
            throw std::out_of_range("optional");
        }
        return from.empty() ? std::nullopt : std::optional<T>(value_codec::read<T>(from.at(0)));
    }
};

template <class T>
struct converter<std::vector<T>> {
    static json write(const std::vector<T>& values)
    {
        json items = json::array();
        for (const auto& value : values) {
            items.push_back(value_codec::write(value));
        }
        return items;
    }
    static std::vector<T> read(const json& from)
    {
        if (!from.is_array()) {
            throw std::out_of_range("list");
        }
        std::vector<T> values;
        values.reserve(from.size());
        for (const auto& item : from) {
            values.push_back(value_codec::read<T>(item));
        }
        return values;
    }
};

template <class T>
struct converter<std::set<T>> {
    static json write(const std::set<T>& values)
    {
        return value_codec::write(std::vector<T>(values.begin(), values.end()));
    }
    static std::set<T> read(const json& from)
    {
        const auto values = value_codec::read<std::vector<T>>(from);
        return {values.begin(), values.end()};
    }
};

template <class... Types>
struct converter<std::variant<Types...>> {
    using variant_type = std::variant<Types...>;
    static json write(const variant_type& value)
    {
        return std::visit(
            [&](const auto& held) {
                return json::array({value.index(), value_codec::write(held)});
            },
            value);
    }
    static variant_type read(const json& from)
    {
        if (!from.is_array() || from.size() != 2) {
            throw std::out_of_range("variant");
        }
        const auto index = value_codec::read<std::size_t>(from.at(0));
        return read_alternative(index, from.at(1), std::index_sequence_for<Types...>());
    }

private:
    template <std::size_t... Index>
    static variant_type read_alternative(std::size_t index, const json& from,
                                         std::index_sequence<Index...>)
    {
        std::optional<variant_type> value;
        ((index == Index
              ? void(value.emplace(
                    std::in_place_index<Index>,
                    value_codec::read<std::variant_alternative_t<Index, variant_type>>(from)))
              : void()),
         ...);
        return value.value();
    }
};

} // namespace value_codec

} // namespace damaskladder::wire
