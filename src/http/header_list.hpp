#pragma once

#include "http/header.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace damaskladder::http {

/// Header fields in the order received. Names are case-insensitive.
class header_list {
public:
    header_list() = default;
    header_list(std::initializer_list<header> fields) : m_fields(fields) {}

    void add(std::string name, std::string value);

    /// Value of the first field with that name, or nullptr.
    const std::string* find(std::string_view name) const;

    /// Number of fields with that name.
    std::size_t count(std::string_view name) const;

    /// Removes all fields with that name.
    void remove(std::string_view name);

    /// Removes the hop-by-hop fields of RFC 9110 section 7.6.1, the fields listed in Connection,
    /// and Content-Length, which the transport derives from the body.
    void remove_hop_by_hop();

    /// Removes all fields for which the condition holds.
    void remove_if(const std::function<bool(const header&)>& condition);

    /// Removes all fields whose name starts with the prefix.
    void remove_prefix(std::string_view prefix);

    auto begin() const { return m_fields.begin(); }
    auto end() const { return m_fields.end(); }
    std::size_t size() const { return m_fields.size(); }

    friend bool operator==(const header_list&, const header_list&) = default;

private:
    std::vector<header> m_fields;
};

/// Compares two header names, ignoring case.
bool same_name(std::string_view a, std::string_view b);

} // namespace damaskladder::http
