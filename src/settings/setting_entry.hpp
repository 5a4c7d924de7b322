#pragma once

#include "settings/field_name.hpp"
#include "settings/field_value.hpp"

#include <cstddef>
#include <map>

namespace damaskladder::settings {

/// Fields of one entry, sorted by name.
class setting_entry {
public:
    using container = std::map<field_name, field_value>;

    const field_value* find(const field_name& name) const
    {
        auto found = m_fields.find(name);
        return found == m_fields.end() ? nullptr : &found->second;
    }
    void set(const field_name& name, field_value value)
    {
        m_fields.insert_or_assign(name, std::move(value));
    }
    void erase(const field_name& name) { m_fields.erase(name); }

    bool empty() const { return m_fields.empty(); }
    std::size_t size() const { return m_fields.size(); }
    container::const_iterator begin() const { return m_fields.begin(); }
    container::const_iterator end() const { return m_fields.end(); }

    friend bool operator==(const setting_entry&, const setting_entry&) = default;

private:
    container m_fields;
};

} // namespace damaskladder::settings
