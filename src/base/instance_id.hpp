#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::base {

/// Name of one run of a backend server, as it calls itself; empty if it has none.
using instance_id = strong_id<struct instance_id_tag, std::string>;

} // namespace damaskladder::base
