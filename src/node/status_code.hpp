#pragma once

#include "base/status_code.hpp"

namespace damaskladder::node {

using base::status_code;

} // namespace damaskladder::node
