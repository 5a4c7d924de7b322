#pragma once

#include "base/strong_id.hpp"
#include "control/digest.hpp"

namespace damaskladder::control {

/// Hash of the content of a request or change, to distinguish a resend from another use of the same
/// id.
using content_hash = base::strong_id<struct content_hash_tag, digest>;

} // namespace damaskladder::control
