#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::settings {

/// Text of a field's value as an operator writes it, for example "500ms".
using field_value = base::strong_id<struct field_value_tag, std::string>;

} // namespace damaskladder::settings
