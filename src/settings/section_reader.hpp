#pragma once

#include "settings/field_spec.hpp"
#include "settings/ini_document.hpp"
#include "settings/problem_kind.hpp"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace damaskladder::settings {

/// Reads an INI file whose sections have fixed fields, such as the settings of a process, and
/// collects every problem with file, line, section, key and what was expected.
class section_reader {
public:
    section_reader(std::string_view text, const std::string& file);

    const setting_tree& tree() const { return m_document.tree; }
    bool has(const std::string& section) const;

    /// Reads the fields of a section, which may be absent if none is required. Reports missing,
    /// malformed and unknown fields.
    void read(const std::string& section, const std::vector<field_spec>& fields);

    /// Reports a problem of a section or, with a field, of one key.
    void add(problem_kind kind, const std::string& section, const std::string& field,
             std::string expected);

    /// Reports sections that were not passed to read().
    void check_unknown_sections(const std::string& expected);

    /// All problems, with file and line.
    settings_problems problems() const;

private:
    void check_unknown_fields(const std::string& section, const setting_entry& entry,
                              const std::vector<field_spec>& fields);

    std::string m_file;
    ini_document m_document;
    settings_problems m_problems;
    std::set<std::string> m_sections_read;
};

/// Splits a list in the form that read_ini normalises it to, joined by ", ".
std::vector<std::string> split_list(const std::string& value);

} // namespace damaskladder::settings
