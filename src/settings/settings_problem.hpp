#pragma once

#include "settings/field_name.hpp"
#include "settings/line_number.hpp"
#include "settings/problem_kind.hpp"
#include "settings/setting_path.hpp"

#include <string>
#include <vector>

namespace damaskladder::settings {

/// One reason for which settings are rejected, with its location and what was expected there.
struct settings_problem {
    problem_kind kind = problem_kind::syntax;
    /// Empty if the settings do not come from a file.
    std::string file;
    line_number line;
    setting_path path;
    field_name field;
    std::string expected;

    friend bool operator==(const settings_problem&, const settings_problem&) = default;
};

using settings_problems = std::vector<settings_problem>;

/// Maximum number of problems reported for one input; further ones are dropped.
inline constexpr std::size_t max_problems = 50;

/// "FILE:LINE: [PATH] FIELD: expected EXPECTED (KIND)", without the parts that are not known.
std::string to_string(const settings_problem& problem);

} // namespace damaskladder::settings
