#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::settings {

/// Value of a field in text form, for example "500ms".
using field_value = base::strong_id<struct field_value_tag, std::string>;

} // namespace damaskladder::settings
