#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::base {

/// Name that a backend server reports for its current run; empty if it reports none.
using instance_id = strong_id<struct instance_id_tag, std::string>;

} // namespace damaskladder::base
