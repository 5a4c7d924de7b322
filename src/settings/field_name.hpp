#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::settings {

/// Name of a field of an entry, for example "timeout".
using field_name = base::strong_id<struct field_name_tag, std::string>;

} // namespace damaskladder::settings
