#pragma once

#include "settings/field_name.hpp"
#include "settings/field_value.hpp"
#include "settings/setting_path.hpp"

#include <string>

namespace damaskladder::settings {

/// The value as it may appear in logs, audit records and conflicts: the hash of a key is replaced
/// by
/// "(hash of KEY)", because whoever holds the cluster key could test guesses against it.
std::string printable_value(const setting_path& path, const field_name& field,
                            const field_value& value);

} // namespace damaskladder::settings
