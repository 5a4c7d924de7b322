#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::base {

/// Request id given by the caller, or drawn by the entry node when the caller gave none.
using request_id = strong_id<struct request_id_tag, std::string>;

} // namespace damaskladder::base
