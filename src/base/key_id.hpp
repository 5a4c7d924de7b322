#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::base {

/// Public name of a workspace's key. Never holds the key itself.
using key_id = strong_id<struct key_id_tag, std::string>;

} // namespace damaskladder::base
