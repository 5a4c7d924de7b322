#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::settings {

/// Name of the region that a failure domain lies in.
using region_name = base::strong_id<struct region_name_tag, std::string>;

} // namespace damaskladder::settings
