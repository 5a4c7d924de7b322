#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::base {

/// Keyed hash of a workspace's key, as stored in the settings. Never the key itself.
using key_hash = strong_id<struct key_hash_tag, std::string>;

} // namespace damaskladder::base
