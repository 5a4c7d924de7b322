#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::base {

/// Request id of an operator's change; retries of the change use the same id.
using change_id = strong_id<struct change_id_tag, std::string>;

} // namespace damaskladder::base
