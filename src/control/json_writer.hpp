#pragma once

#include "control/digest.hpp"
#include "control/visit_fields.hpp"
#include "settings/setting_tree.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace damaskladder::control {

/// Converts stored types to CBOR values. A struct becomes the list of its fields without their
/// names, which would take most of the time and space of a snapshot.
class json_writer {
public:
    using json = nlohmann::json;

    template <class T>
    static json write(const T& value)
    {
        if constexpr (std::is_enum_v<T>) {
            return static_cast<std::uint64_t>(value);
        }
        else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
            return value;
        }
        else if constexpr (requires { value.time_since_epoch(); }) {
            return value.time_since_epoch().count();
        }
        else if constexpr (requires { value.count(); }) {
            return value.count();
        }
        else if constexpr (requires { typename T::rep; }) {
            return write(value.value());
        }
        else {
            return write_compound(value);
        }
    }

    template <class... T>
    void operator()(const T&... fields)
    {
        m_fields.get_ref<json::array_t&>().reserve(sizeof...(fields));
        (m_fields.push_back(write(fields)), ...);
    }

private:
    template <class T>
    static json write_compound(const T& value)
    {
        json_writer writer;
        visit_fields(writer, value);
        return std::move(writer.m_fields);
    }
    template <class T>
    static json write_compound(const std::vector<T>& values)
    {
        auto list = json::array();
        for (const auto& value : values) {
            list.push_back(write(value));
        }
        return list;
    }
    template <class T>
    static json write_compound(const std::optional<T>& value)
    {
        return value ? write(*value) : json(nullptr);
    }
    template <class... T>
    static json write_compound(const std::variant<T...>& value)
    {
        auto written =
            std::visit([](const auto& alternative) { return write(alternative); }, value);
        auto pair = json::array();
        pair.push_back(value.index());
        pair.push_back(std::move(written));
        return pair;
    }
    static json write_compound(const digest& value)
    {
        return json::binary({value.bytes.begin(), value.bytes.end()});
    }
    static json write_compound(const settings::setting_path& value) { return value.text(); }
    /// A list of [path, field, value, field, value ...].
    static json write_compound(const settings::setting_tree& value)
    {
        auto list = json::array();
        for (const auto& [path, entry] : value) {
            auto row = json::array({path.text()});
            for (const auto& [field, text] : entry) {
                row.push_back(field.value());
                row.push_back(text.value());
            }
            list.push_back(std::move(row));
        }
        return list;
    }

    json m_fields = json::array();
};

} // namespace damaskladder::control
