#pragma once

#include "base/strong_id.hpp"

#include <string>

namespace damaskladder::base {

/// Name of a team; its subtree is teams/TEAM.
using team_id = strong_id<struct team_id_tag, std::string>;

} // namespace damaskladder::base
