#pragma once

#include "control/digest.hpp"
#include "control/enum_count.hpp"
#include "control/visit_fields.hpp"
#include "settings/setting_tree.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace damaskladder::control {

/// Converts CBOR values to stored types. Fails on a missing, additional or wrongly typed field and
/// on text that settings cannot contain.
class json_reader {
public:
    using json = nlohmann::json;

    template <class T>
    [[nodiscard]] static bool read(const json& source, T& value)
    {
        if constexpr (std::is_enum_v<T>) {
            std::uint64_t number = 0;
            bool valid = read(source, number) && number < enum_count<T>;
            value = valid ? static_cast<T>(number) : value;
            return valid;
        }
        else if constexpr (std::is_same_v<T, bool>) {
            value = source.is_boolean() && source.get<bool>();
            return source.is_boolean();
        }
        else if constexpr (std::is_integral_v<T>) {
            return read_integer(source, value);
        }
        else if constexpr (std::is_same_v<T, settings::field_name>) {
            return read_text(source, value, is_field_name);
        }
        else if constexpr (std::is_same_v<T, settings::field_value>) {
            return read_text(source, value, is_field_value);
        }
        else if constexpr (requires { value.time_since_epoch(); }) {
            typename T::duration since_epoch{};
            bool valid = read(source, since_epoch);
            value = T(since_epoch);
            return valid;
        }
        else if constexpr (requires { value.count(); }) {
            return read_duration(source, value);
        }
        else if constexpr (requires { typename T::rep; }) {
            typename T::rep representation{};
            bool valid = read(source, representation);
            value = T(std::move(representation));
            return valid;
        }
        else {
            return read_compound(source, value);
        }
    }

    template <class... T>
    void operator()(T&... fields)
    {
        std::size_t at = 0;
        m_valid = m_source.size() == sizeof...(fields) && (read(m_source[at++], fields) && ...);
    }

private:
    explicit json_reader(const json& source) : m_source(source) {}

    template <class T>
    static bool read_compound(const json& source, T& value)
    {
        if (!source.is_array()) {
            return false;
        }
        json_reader reader(source);
        visit_fields(reader, value);
        return reader.m_valid;
    }
    template <class T>
    static bool read_compound(const json& source, std::vector<T>& values)
    {
        if (!source.is_array()) {
            return false;
        }
        values.clear();
        for (const auto& element : source) {
            if (!read(element, values.emplace_back())) {
                return false;
            }
        }
        return true;
    }
    template <class T>
    static bool read_compound(const json& source, std::optional<T>& value)
    {
        value.reset();
        return source.is_null() || read(source, value.emplace());
    }
    template <class... T>
    static bool read_compound(const json& source, std::variant<T...>& value)
    {
        std::uint64_t index = 0;
        bool is_pair = source.is_array() && source.size() == 2;
        if (!is_pair || !read(source[0], index)) {
            return false;
        }
        return read_alternative(source[1], index, value, std::index_sequence_for<T...>());
    }
    template <class Variant, std::size_t... Index>
    static bool read_alternative(const json& source, std::uint64_t index, Variant& value,
                                 std::index_sequence<Index...> /*all*/)
    {
        return ((index == Index && read(source, value.template emplace<Index>())) || ...);
    }
    static bool read_compound(const json& source, std::string& value)
    {
        value = source.is_string() ? source.get<std::string>() : std::string();
        return source.is_string();
    }
    static bool read_compound(const json& source, digest& value)
    {
        if (!source.is_binary() || source.get_binary().size() != value.bytes.size()) {
            return false;
        }
        const auto& bytes = source.get_binary();
        std::copy(bytes.begin(), bytes.end(), value.bytes.begin());
        return true;
    }
    static bool read_compound(const json& source, settings::setting_path& value)
    {
        std::string text;
        if (!read(source, text)) {
            return false;
        }
        auto parsed = settings::setting_path::parse(text);
        value = parsed.value_or(settings::setting_path());
        return parsed.has_value() || text.empty();
    }
    static bool read_compound(const json& source, settings::setting_tree& value)
    {
        if (!source.is_array()) {
            return false;
        }
        value = settings::setting_tree();
        return std::all_of(source.begin(), source.end(),
                           [&](const json& row) { return read_row(row, value); });
    }
    static bool read_row(const json& row, settings::setting_tree& tree)
    {
        settings::setting_path path;
        bool is_valid_row = row.is_array() && row.size() >= 3 && row.size() % 2 == 1;
        if (!is_valid_row || !read(row[0], path) || tree.find(path) != nullptr) {
            return false;
        }
        for (std::size_t at = 1; at < row.size(); at += 2) {
            settings::field_name field;
            settings::field_value value;
            if (!read(row[at], field) || !read(row[at + 1], value) ||
                tree.find(path, field) != nullptr) {
                return false;
            }
            tree.set(path, field, std::move(value));
        }
        return true;
    }
    template <class T>
    static bool read_integer(const json& source, T& value)
    {
        if (!source.is_number_integer()) {
            return false;
        }
        bool fits = source.is_number_unsigned() ? std::in_range<T>(source.get<std::uint64_t>())
                                                : std::in_range<T>(source.get<std::int64_t>());
        value = fits ? source.get<T>() : T();
        return fits;
    }
    template <class T>
    static bool read_duration(const json& source, T& value)
    {
        // Far beyond any calendar time, and small enough that sums with durations do not overflow.
        constexpr std::int64_t max_microseconds = std::numeric_limits<std::int64_t>::max() / 8;
        std::int64_t count = 0;
        bool valid =
            read_integer(source, count) && count >= -max_microseconds && count <= max_microseconds;
        value = T(valid ? count : 0);
        return valid;
    }
    template <class T>
    static bool read_text(const json& source, T& value, bool (*is_valid)(const std::string&))
    {
        std::string text;
        if (!read(source, text) || !is_valid(text)) {
            return false;
        }
        value = T(std::move(text));
        return true;
    }
    static bool is_field_name(const std::string& text);
    static bool is_field_value(const std::string& text);

    const json& m_source;
    bool m_valid = false;
};

} // namespace damaskladder::control
