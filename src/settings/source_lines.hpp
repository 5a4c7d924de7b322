#pragma once

#include "settings/field_name.hpp"
#include "settings/line_number.hpp"
#include "settings/setting_path.hpp"
#include "settings/settings_problem.hpp"

#include <compare>
#include <map>
#include <string>

namespace damaskladder::settings {

/// Line numbers of the sections and fields of a file, for problems that are found after parsing.
class source_lines {
public:
    void add_section(const setting_path& path, line_number line) { m_lines[{path, {}}] = line; }
    void add_field(const setting_path& path, const field_name& field, line_number line)
    {
        m_lines[{path, field}] = line;
    }

    /// Line of the field; if unknown, of its section; otherwise 0.
    line_number find(const setting_path& path, const field_name& field) const
    {
        auto found = m_lines.find({path, field});
        if (found == m_lines.end()) {
            found = m_lines.find({path, {}});
        }
        return found == m_lines.end() ? line_number() : found->second;
    }

    /// Fills in file and line of problems that name a path of this file.
    void locate(const std::string& file, settings_problems& problems) const
    {
        for (auto& problem : problems) {
            if (problem.line == line_number()) {
                problem.line = find(problem.path, problem.field);
                problem.file = file;
            }
        }
    }

private:
    struct location {
        setting_path path;
        field_name field;
        friend auto operator<=>(const location&, const location&) = default;
    };

    std::map<location, line_number> m_lines;
};

} // namespace damaskladder::settings
