#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::base {

/// Name of a service, unique in the fleet.
using service_id = strong_id<struct service_id_tag, std::string>;

} // namespace damaskladder::base
