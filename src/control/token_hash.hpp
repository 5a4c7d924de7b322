#pragma once

#include "base/strong_id.hpp"
#include "control/digest.hpp"

namespace damaskladder::control {

/// Keyed hash of an operator's token. The token itself is never stored.
using token_hash = base::strong_id<struct token_hash_tag, digest>;

} // namespace damaskladder::control
