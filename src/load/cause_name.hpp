#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::load {

/// Section name of a surge or command, for example "surges/peak".
using cause_name = base::strong_id<struct cause_name_tag, std::string>;

} // namespace damaskladder::load
