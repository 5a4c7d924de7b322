#pragma once

#include "base/strong_id.hpp"
#include "control/digest.hpp"

namespace damaskladder::control {

/// Hash of what a request or change contains, to tell a repeat from another use of its id.
using content_hash = base::strong_id<struct content_hash_tag, digest>;

} // namespace damaskladder::control
