#pragma once

#include "settings/field_name.hpp"
#include "settings/field_value.hpp"
#include "settings/setting_path.hpp"

#include <string>

namespace damaskladder::settings {

/// Redacts a value for logs, audit records and conflicts: the hash of a key is replaced by
/// "(hash of KEY)", because a holder of the cluster key could test guessed keys against it.
std::string printable_value(const setting_path& path, const field_name& field,
                            const field_value& value);

} // namespace damaskladder::settings
