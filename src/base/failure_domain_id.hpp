#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::base {

/// Name of a failure domain.
using failure_domain_id = strong_id<struct failure_domain_id_tag, std::string>;

} // namespace damaskladder::base
