#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::base {

/// Name of an operator credential.
using operator_id = strong_id<struct operator_id_tag, std::string>;

} // namespace damaskladder::base
