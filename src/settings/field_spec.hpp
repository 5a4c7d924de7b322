#pragma once

#include <functional>
#include <string>

namespace damaskladder::settings {

/// How section_reader reads one field of a settings file.
struct field_spec {
    std::string name;
    /// Description of a valid value, for problems.
    std::string expected;
    bool required = false;
    /// Parses and stores the value; false if it is malformed.
    std::function<bool(const std::string& value)> read;
};

} // namespace damaskladder::settings
