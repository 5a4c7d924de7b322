#pragma once

#include "base/strong_id.hpp"
#include "control/digest.hpp"

namespace damaskladder::control {

/// Hash of an audit record and, through it, of all records before it.
using chain_hash = base::strong_id<struct chain_hash_tag, digest>;

} // namespace damaskladder::control
