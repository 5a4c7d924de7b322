#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::settings {

/// Prefix of the request paths that a route serves, for example "/payments" or
/// "/payments/"; the latter does not serve "/payments" itself.
using path_prefix = base::strong_id<struct path_prefix_tag, std::string>;

} // namespace damaskladder::settings
