#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::load {

/// Name of a cause of overload or of a command: its section name, for example "surges/peak".
using cause_name = base::strong_id<struct cause_name_tag, std::string>;

} // namespace damaskladder::load
