#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::settings {

/// Name of the region that contains a failure domain.
using region_name = base::strong_id<struct region_name_tag, std::string>;

} // namespace damaskladder::settings
